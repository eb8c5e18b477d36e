// Measurements by size, and the line through them.
//
//     series memory("ownership_table_memory", "bytes", "groups");
//     memory.add(1024, bytes);
//     memory.print(std::cout);

#ifndef FILBERTHUB_TOOLS_EXPERIMENT_SERIES_HPP
#define FILBERTHUB_TOOLS_EXPERIMENT_SERIES_HPP

#include <nlohmann/json.hpp>

#include <cstddef>
#include <ostream>
#include <string>
#include <vector>

namespace filberthub::experiment {

using json = nlohmann::json;

struct line_fit
{
    double offset = 0;
    double slope = 0;
    // Largest deviation of a measured value from the line, relative to the
    // value.
    double residual = 0;
};

// Fits a line by least squares of the relative deviations: sizes span a factor
// of 100, and absolute ones would let the largest size decide alone. A single
// size gives a slope through 0.
line_fit fit_line(
    const std::vector<double>& sizes, const std::vector<double>& values);

class series
{
public:
    series(std::string name, std::string unit, std::string per);

    void add(double size, double value);
    // Adds a field to the printed line.
    series& note(const std::string& field, json value);

    // Prints one JSON line with sizes, values, slope and residual.
    void print(std::ostream& stream) const;

private:
    json line_;
    std::vector<double> sizes_;
    std::vector<double> values_;
};

// CPU time of the calling thread in nanoseconds. Waiting for a processor does
// not count, which keeps other work of the machine out of the figures.
double thread_nanoseconds();

// Returns the least CPU time in nanoseconds of several calls of `work`.
template <class Work>
double least_nanoseconds(unsigned repetitions, const Work& work)
{
    double least = 0;
    for (unsigned run = 0; run < repetitions; ++run) {
        const double start = thread_nanoseconds();
        work();
        const double time = thread_nanoseconds() - start;
        least = run == 0 || time < least ? time : least;
    }
    return least;
}

// Keeps the compiler from removing a computation whose result is unused.
template <class Value>
void keep(const Value& value)
{
    asm volatile("" : : "r"(&value) : "memory");
}

// Bytes that operator new has handed out and that are not freed, as sizes of
// the allocator's blocks.
std::size_t live_bytes();

} // namespace filberthub::experiment

#endif
