#include "catalog/catalog.h"

#include <criterion/criterion.h>

#include <map>
#include <string>

#include "catalog/split_picker.h"
#include "catalog/validate_catalog.h"

namespace {

using namespace wagtailpick::catalog;  // NOLINT(google-build-using-namespace)

Route MakeRoute(const std::string& name, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = "shop.example";
  route.path_prefix = prefix;
  route.timeout = std::chrono::seconds(1);
  route.targets = {{"menu", 1}};
  return route;
}

Catalog MakeCatalog(std::vector<Route> routes) {
  Service menu;
  menu.name = "menu";
  return {1, std::move(routes), {menu}, Limits()};
}

}  // namespace

// Guards against requests that match a shorter prefix than they could, or a route of another host.
Test(catalog, matches_the_longest_prefix_of_the_host) {
  const auto catalog =
      MakeCatalog({MakeRoute("all", "/"), MakeRoute("deep", "/a/b/"), MakeRoute("middle", "/a/")});
  cr_expect(catalog.Match("shop.example", "/a/b/c?q=/x/")->name == "deep");
  cr_expect(catalog.Match("SHOP.example:8080", "/a/x")->name == "middle");
  cr_expect(catalog.Match("shop.example", "/a")->name == "all");
  cr_expect(catalog.Match("other.example", "/a/") == nullptr);
}

// Guards against the acceptance of a catalog with routes that cannot be served.
Test(catalog, rejects_invalid_routes) {
  const auto fails = [](auto change) {
    auto route = MakeRoute("r", "/a/");
    change(route);
    return !Validate(MakeCatalog({route}));
  };
  cr_expect(!fails([](Route&) {}));
  cr_expect(fails([](Route& route) { route.targets = {{"unknown", 1}}; }));
  cr_expect(fails([](Route& route) { route.targets = {{"menu", 0}}; }));
  cr_expect(fails([](Route& route) { route.targets.clear(); }));
  cr_expect(fails([](Route& route) { route.attempts = 0; }));
  cr_expect(fails([](Route& route) { route.path_prefix = "a/"; }));
  cr_expect(fails([](Route& route) { route.timeout = std::chrono::minutes(11); }));
  cr_expect(fails([](Route& route) { route.timeout = {}; }));
  cr_expect(!Validate(MakeCatalog({MakeRoute("a", "/x/"), MakeRoute("b", "/x/")})));
}

// Guards against a split that deviates from its weights over 100 requests.
Test(catalog, splits_each_hundred_requests_by_weight) {
  auto route = MakeRoute("r", "/a/");
  route.targets = {{"menu", 90}, {"menu-next", 10}};
  SplitPicker picker(7);
  for (int round = 0; round < 5; ++round) {
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) ++counts[picker.Pick(route)];
    cr_expect(counts["menu"] == 90);
    cr_expect(counts["menu-next"] == 10);
  }
}
