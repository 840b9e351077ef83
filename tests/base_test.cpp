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
    // describe() uses a binary search and would return a wrong entry.
    auto const results = all_results();
    for (std::size_t i = 1; i < results.size(); ++i)
    {
        CHECK(results[i - 1].m_code < results[i].m_code);
    }
    CHECK(describe(result_code::over_rate).m_name == "over_rate");
}

TEST_CASE("the documented result codes are those of the code")
{
    // Operators act on the run column; a stale page would mislead them.
    std::ifstream file{BRIARHUB_SOURCE_DIR "/docs/result-codes.md"};
    std::string const page{std::istreambuf_iterator<char>{file}, {}};
    CHECK(page.find(result_table()) != std::string::npos);
}

TEST_CASE("timers follow the paused clock")
{
    runtime_clock::pause();
    auto const start = runtime_clock::now();
    boost::asio::io_context io;
    timer alarm{io, 10s};
    bool fired = false;
    alarm.async_wait(
        [&](auto)
        {
            fired = true;
        });
    io.run_for(5ms);
    CHECK_FALSE(fired);
    runtime_clock::advance(11s);
    io.restart();
    io.run_for(50ms);
    CHECK(fired);
    CHECK(runtime_clock::now() - start == 11s);
    runtime_clock::resume();
}

TEST_CASE("a full mailbox drops and counts")
{
    boost::asio::io_context io;
    std::vector<int> received;
    mailbox<std::unique_ptr<int>> box{
        io,
        2,
        [&](std::unique_ptr<int>&& value)
        {
            received.push_back(*value);
        }};
    CHECK(box.push(std::make_unique<int>(1)));
    CHECK(box.push(std::make_unique<int>(2)));
    CHECK_FALSE(box.push(std::make_unique<int>(3)));
    io.run();
    CHECK(received == std::vector<int>{1, 2});
    CHECK(box.dropped() == 1);
}

TEST_CASE("metrics text holds counters, labels and quantiles")
{
    metrics_registry registry;
    registry.get_counter("briarhub_refusals_total", {{"code", "3001"}}).add(2);
    registry.get_latency("briarhub_added_seconds").record(2ms);
    std::string const text = registry.to_text();
    CHECK(
        text.find("briarhub_refusals_total{code=\"3001\"} 2") !=
        std::string::npos);
    CHECK(text.find("briarhub_added_seconds_count 1") != std::string::npos);
}

TEST_CASE("compressed text comes back; other bytes are refused")
{
    // A configuration of a thousand routes filled the links of small VMs, so
    // that it came into force too late.
    std::string text;
    for (int i = 0; i < 1000; ++i)
    {
        text += R"({"kind":"routes","name":"r-)" + std::to_string(i) + "\"}";
    }
    auto const packed = briarhub::compress(text);
    CHECK(packed.size() < text.size() / 5);
    CHECK(briarhub::decompress(packed, text.size()) == text);
    CHECK(!briarhub::decompress(packed, text.size() - 1));
    CHECK(!briarhub::decompress(packed, text.size() + 1));
    CHECK(!briarhub::decompress(
        packed.substr(0, packed.size() / 2), text.size()));
    CHECK(!briarhub::decompress("no zlib", text.size()));
    CHECK(briarhub::decompress(briarhub::compress(""), 0) == "");
}
