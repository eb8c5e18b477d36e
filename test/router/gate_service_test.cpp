#include "net/loop.hpp"

#include "router/gate_service.hpp"

#include <QtCore/QTimer>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <thread>

#include <gtest/gtest.h>

namespace filberthub {
namespace {

using test::run_until;

time_point now()
{
    return std::chrono::steady_clock::now();
}

// Sends datagrams to an address as fast as it can, for at most `limit`.
class datagram_flood
{
public:
    datagram_flood(const endpoint& target, milliseconds limit)
        : thread_([this, target, limit] { run(target, limit); })
    {}

    ~datagram_flood()
    {
        stopped_ = true;
        thread_.join();
    }

    bool active() const
    {
        return active_;
    }

private:
    void run(const endpoint& target, milliseconds limit)
    {
        const int descriptor = socket(AF_INET, SOCK_DGRAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(target.port);
        inet_pton(AF_INET, target.address.c_str(), &address.sin_addr);
        const std::vector<std::uint8_t> bytes =
            json::to_cbor(json{9, "a message of an unknown kind"});
        const time_point end = now() + limit;
        while (!stopped_ && now() < end) {
            sendto(descriptor, bytes.data(), bytes.size(), 0,
                reinterpret_cast<const sockaddr*>(&address), sizeof address);
        }
        active_ = false;
        close(descriptor);
    }

    std::atomic<bool> stopped_ = false;
    std::atomic<bool> active_ = true;
    std::thread thread_;
};

// Guards against a gate under load that keeps the process from everything else:
// it learned of leaving servers 2.5 s late.
TEST(GateService, LeavesTimeForOtherEventsUnderAFloodOfMessages)
{
    route_settings settings;
    settings.peers = {"127.0.0.1", 0};
    const deployment_view view(settings);
    gate_service gates(settings, view, now);
    gates.start();
    int ticks = 0;
    QTimer ticker;
    QObject::connect(&ticker, &QTimer::timeout, [&] { ++ticks; });
    ticker.start(1);
    const datagram_flood flood(gates.address(), milliseconds(4'000));
    EXPECT_TRUE(run_until([&] { return ticks >= 20; }));
    EXPECT_TRUE(flood.active());
}

} // namespace
} // namespace filberthub
