#include "clock.hpp"
#include "compression.hpp"
#include "mailbox.hpp"
#include "metrics.hpp"
#include "result_code.hpp"

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

using namespace briarhub;
using namespace std::chrono_literals;

TEST_CASE("every result code has one entry and entries are in numeric order")
{
    // describe() uses a binary search, which returns the wrong entry if the
    // order is violated.
    auto const results = all_results();
    for (std::size_t i = 1; i < results.size(); ++i)
    {
        CHECK(results[i - 1].m_code < results[i].m_code);
    }
    CHECK(describe(result_code::over_rate).m_name == "over_rate");
}

TEST_CASE("the documented result codes match the code")
{
    // Operators rely on the run column; an outdated page would mislead them.
    std::ifstream file{BRIARHUB_SOURCE_DIR "/docs/result-codes.md"};
    std::string const page{std::istreambuf_iterator<char>{file}, {}};
    CHECK(page.find(result_table()) != std::string::npos);
}

TEST_CASE("timers follow the paused clock")
{
    runtime_clock::pause();
    auto const start = runtime_clock::now();
    boost::asio::io_context io;
    timer test_timer{io, 10s};
    bool expired = false;
    test_timer.async_wait(
        [&](auto)
        {
            expired = true;
        });
    io.run_for(5ms);
    CHECK_FALSE(expired);
    runtime_clock::advance(11s);
    io.restart();
    io.run_for(50ms);
    CHECK(expired);
    CHECK(runtime_clock::now() - start == 11s);
    runtime_clock::resume();
}

TEST_CASE("a full mailbox drops messages and counts them")
{
    boost::asio::io_context io;
    std::vector<int> received;
    mailbox<std::unique_ptr<int>> int_mailbox{
        io,
        2,
        [&](std::unique_ptr<int>&& value)
        {
            received.push_back(*value);
        }};
    CHECK(int_mailbox.push(std::make_unique<int>(1)));
    CHECK(int_mailbox.push(std::make_unique<int>(2)));
    CHECK_FALSE(int_mailbox.push(std::make_unique<int>(3)));
    io.run();
    CHECK(received == std::vector<int>{1, 2});
    CHECK(int_mailbox.dropped() == 1);
}

TEST_CASE("the metrics text contains counters, labels and summaries")
{
    metrics_registry registry;
    registry.get_counter("briarhub_refusals_total", {{"code", "3001"}}).add(2);
    registry.get_latency_summary("briarhub_added_seconds").record(2ms);
    std::string const text = registry.to_text();
    CHECK(
        text.find("briarhub_refusals_total{code=\"3001\"} 2") !=
        std::string::npos);
    CHECK(text.find("briarhub_added_seconds_count 1") != std::string::npos);
}

TEST_CASE("compression round-trips and malformed input is rejected")
{
    // Uncompressed, a configuration of a thousand routes saturated the network
    // links of small VMs and became active too late.
    std::string text;
    for (int i = 0; i < 1000; ++i)
    {
        text += R"({"kind":"routes","name":"r-)" + std::to_string(i) + "\"}";
    }
    auto const compressed = briarhub::compress(text);
    CHECK(compressed.size() < text.size() / 5);
    CHECK(briarhub::decompress(compressed, text.size()) == text);
    CHECK(!briarhub::decompress(compressed, text.size() - 1));
    CHECK(!briarhub::decompress(compressed, text.size() + 1));
    CHECK(!briarhub::decompress(
        compressed.substr(0, compressed.size() / 2), text.size()));
    CHECK(!briarhub::decompress("no zlib", text.size()));
    CHECK(briarhub::decompress(briarhub::compress(""), 0) == "");
}
