// The store and the servers of the property test of restores.

#ifndef FILBERTHUB_TEST_ROUTING_STORE_EPOCH_MODEL_HPP
#define FILBERTHUB_TEST_ROUTING_STORE_EPOCH_MODEL_HPP

#include "routing/routing_builders.hpp"

#include <filberthub/routing/store_epoch.hpp>

#include <array>

namespace filberthub {

// Keys at which the holders are compared.
inline constexpr key_number sample_step = 2'048;
inline constexpr std::size_t sample_count = key_count / sample_step;

// An object of the store; revision 0 if it does not exist.
struct stored_object
{
    std::uint64_t revision = 0;
    std::string text;
};

struct model_store
{
    store_epoch epoch{1};
    std::uint64_t revision = 10;
    stored_object lease;
    stored_object table;

    bool write(stored_object model_store::*object, std::uint64_t plain,
        const std::string& text)
    {
        if ((this->*object).revision != plain)
            return false;
        this->*object = {++revision, text};
        return true;
    }
};

struct model_server
{
    std::array<std::uint64_t, sample_count> token{};
    std::array<time_point, sample_count> held_until{};

    // The clock of the server is 2% slow.
    bool run(const grant_command& command, time_point arrival)
    {
        const auto time =
            std::chrono::duration_cast<duration>(command.grant_duration * 1.02);
        const auto for_samples = [&](const auto& function) {
            for (std::size_t index = 0; index < sample_count; ++index) {
                const key_number key = sample_step * index;
                if (key >= command.first && key <= command.last)
                    function(index);
            }
        };
        bool accepted = true;
        for_samples([&](std::size_t index) {
            accepted = accepted && token[index] <= command.token.value();
        });
        for_samples([&](std::size_t index) {
            if (command.release)
                held_until[index] = {};
            else if (accepted) {
                token[index] = command.token.value();
                held_until[index] = std::max(held_until[index], arrival + time);
            }
        });
        return accepted || command.release;
    }
};

} // namespace filberthub

#endif
