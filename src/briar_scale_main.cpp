/// briar-scale: measures memory and CPU time of the modules at the size of a
/// large fleet, as costs per entity for docs/CAPACITY.md.

#include "scale_bench.hpp"

#include <cxxopts.hpp>

#include <cstdint>
#include <exception>
#include <iostream>

namespace
{

using namespace briarhub;

int run(int argc, char** argv)
{
    cxxopts::Options options{
        "briar-scale",
        "Memory and CPU time of the modules at the size of a large fleet"};
    fleet_dimensions size;
    options.add_options()("vms", "entry VMs", cxxopts::value(size.m_vms))(
        "upstreams", "upstreams", cxxopts::value(size.m_upstreams))(
        "services", "services", cxxopts::value(size.m_services))(
        "work-classes", "work classes", cxxopts::value(size.m_work_classes))(
        "accounts", "client accounts", cxxopts::value(size.m_accounts))(
        "claims", "claims", cxxopts::value(size.m_claims))(
        "seed",
        "recorded with the results",
        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "json", "print JSON")("help", "print help");
    auto const arguments = options.parse(argc, argv);
    if (arguments.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    auto const results =
        run_scale_bench(size, arguments["seed"].as<std::uint64_t>());
    bool const is_json = arguments.count("json") != 0;
    std::cout << (is_json ? to_json_text(results) + '\n' : to_table(results));
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (std::exception const& error)
    {
        std::cerr << "briar-scale: " << error.what() << '\n';
        return 2;
    }
}
