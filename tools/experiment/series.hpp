// Measurements by size, with a linear fit.
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

// Fits a line by least squares of the relative deviations. The sizes span a
// factor of 100, and with absolute deviations the largest size alone would
// determine the line. A single size gives a line through the origin.
line_fit fit_line(
    const std::vector<double>& sizes, const std::vector<double>& values);

// Values of one quantity by size. `unit` is the unit of the values, and `per`
// is what the size counts.
class series
{
public:
    series(std::string name, std::string unit, std::string per);

    void add(double size, double value);
    // Adds a field to the printed JSON object, for example the sources of the
    // sizes.
    series& note(const std::string& field, json value);

    // Prints one JSON line with the sizes, the values and the fitted line.
    void print(std::ostream& stream) const;

private:
    json line_;
    std::vector<double> sizes_;
    std::vector<double> values_;
};

// Returns the CPU time of the calling thread in nanoseconds. The time that the
// thread waits for a processor is not included, which limits the effect of
// other load on the machine.
double thread_cpu_nanoseconds();

// Calls `work` several times and returns the smallest CPU time of a call in
// nanoseconds.
template <class Work>
double min_cpu_nanoseconds(unsigned repetitions, const Work& work)
{
    double minimum = 0;
    for (unsigned repetition = 0; repetition < repetitions; ++repetition) {
        const double start = thread_cpu_nanoseconds();
        work();
        const double time = thread_cpu_nanoseconds() - start;
        minimum = repetition == 0 || time < minimum ? time : minimum;
    }
    return minimum;
}

// Prevents the compiler from removing the computation of an unused value.
template <class Value>
void do_not_optimize(const Value& value)
{
    asm volatile("" : : "r"(&value) : "memory");
}

// Returns the number of bytes that are allocated by operator new and not yet
// freed, counted as the usable sizes of the allocator's blocks.
std::size_t allocated_bytes();

} // namespace filberthub::experiment

#endif
