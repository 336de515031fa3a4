#include "ibismast/relay/routetable.h"

#include <catch2/catch.hpp>

using namespace ibismast;

namespace
{

RelayRoute route(const std::string &name, const std::string &host, const std::string &prefix)
{
    RelayRoute result;
    result.name = name;
    result.host = host;
    result.pathPrefix = prefix;
    result.shares = {{ServiceName("pool"), 90}, {ServiceName("canary"), 10}};
    return result;
}

RouteTable exampleTable()
{
    RelayConfig config;
    config.routes = {route("root", "a.example", "/"),
                     route("short", "a.example", "/x/"),
                     route("long", "a.example", "/x/y/"),
                     route("other", "b.example", "/x/")};
    config.customers = {{CustomerId("north"), {"k1", "k2"}}, {CustomerId("south"), {"k3"}}};
    return RouteTable(std::move(config));
}

} // namespace

// Guards against calls that are sent to a service of another route.
TEST_CASE("the route with the longest matching prefix of the host is chosen", "[relay]")
{
    const auto [host, path, name] = GENERATE(table<std::string, std::string, std::string>({
        {"a.example", "/x/y/z", "long"},
        {"a.example", "/x/y/", "long"},
        {"a.example", "/x/y", "short"},
        {"a.example", "/x/yy/z", "short"},
        {"a.example", "/xx/y/", "root"},
        {"A.Example:8080", "/x/y/z", "long"},
        {"b.example", "/x/y/z", "other"},
        {"b.example", "/y/", ""},
        {"c.example", "/x/", ""},
        {"a.example", "*", ""},
    }));
    const RouteTable table = exampleTable();
    const RelayRoute *found = table.match(host, path);
    CHECK((found == nullptr ? "" : found->name) == name);
}

// Guards against an API key that is accepted for another customer.
TEST_CASE("an API key identifies only its own customer", "[relay]")
{
    const auto [key, customer] = GENERATE(
        table<std::string, std::string>({{"k1", "north"}, {"k2", "north"}, {"k3", "south"}, {"k", ""}, {"", ""}}));
    const RouteTable table = exampleTable();
    const CustomerId *found = table.customerOf(key);
    CHECK((found == nullptr ? "" : found->value()) == customer);
}

// Guards against a traffic split that ignores the weights.
TEST_CASE("a service is picked in proportion to its weight", "[relay]")
{
    const auto [choice, service] =
        GENERATE(table<double, std::string>({{0.0, "pool"}, {0.899, "pool"}, {0.901, "canary"}, {0.999, "canary"}}));
    CHECK(RouteTable::serviceOf(route("r", "h", "/"), choice).value() == service);
}

// Guards against an urgent customer that waits behind the usual calls of its route, and against priorities that are
// taken from routes of another service.
TEST_CASE("the priority of a customer takes precedence over that of the route", "[relay]")
{
    RelayConfig config;
    config.routes = {route("first", "h", "/a/"), route("second", "h", "/b/"), route("open", "h", "/c/")};
    config.routes[0].priority = CallPriority(1);
    config.routes[1].priority = CallPriority(2);
    config.routes[2].isPublic = true;
    config.routes[2].shares = {{ServiceName("public"), 1}};
    config.customers = {{CustomerId("north"), {"k1"}, CallPriority(0)}, {CustomerId("south"), {"k2"}}};
    const RouteTable routes(config);
    const auto [index, customer, priority] = GENERATE(table<std::size_t, std::string, int>(
        {{0, "north", 0}, {1, "north", 0}, {0, "south", 1}, {1, "south", 2}, {2, "", 5}}));
    CHECK(routes.priorityOf(config.routes[index], CustomerId(customer)) == CallPriority(priority));
    CHECK(routes.prioritiesOf(ServiceName("pool")) == std::set {CallPriority(0), CallPriority(1), CallPriority(2)});
    CHECK(routes.prioritiesOf(ServiceName("public")) == std::set {DefaultCallPriority});
    CHECK(routes.prioritiesOf(ServiceName("none")).empty());
}
