#include <doctest/doctest.h>

#include "fleet.h"

namespace lagoonwind::testing {
namespace {

using nlohmann::json;

http::Request BookingRequest(const std::string& key) {
  return http::Request{
      .method = "POST",
      .target = "/services/bookings/runs",
      .content_type = "application/json",
      .fields = {{"Authorization", "Bearer token-saltline-erie"}, {"Idempotency-Key", key}},
      .body = R"({"machine": 4})"};
}

http::Response Send(const std::string& address, http::Request request) {
  auto response = FetchNow(address, std::move(request));
  REQUIRE_MESSAGE(response.ok(), response.status().ToString());
  return *std::move(response);
}

TEST_CASE("a request is served end to end by separate processes") {
  Fleet fleet(LocalFleetOptions(LAGOONWIND_BUILD_DIR, LAGOONWIND_BUILD_DIR "/whole_path_test",
                                LocalRules(LAGOONWIND_SOURCE_DIR)));
  fleet.AwaitReady();
  const std::string entry_address = fleet.entry_addresses().front();

  SUBCASE("responses equal those of the engine byte by byte") {
    for (const bool stream : {false, true}) {
      const auto routed = Send(entry_address, CompletionRequest("a lion on a shield", stream));
      const auto direct =
          Send(fleet.backend_address("engine-1"), CompletionRequest("a lion on a shield", stream));
      CHECK(routed.status == 200);
      CHECK(routed.body == direct.body);
      CHECK(routed.content_type == direct.content_type);
      CHECK(http::FindField(routed.fields, "Lagoonwind-Outcome") == "complete");
      CHECK(!http::FindField(routed.fields, "Lagoonwind-Request-Id").empty());
    }
  }
  SUBCASE("a booking is executed once and its response is complete") {
    const auto response = Send(entry_address, BookingRequest("key-1"));
    CHECK(response.status == 200);
    CHECK(json::parse(response.body).at("key") == "key-1");
    CHECK(fleet.Executions("bookings-1").size() + fleet.Executions("bookings-2").size() == 1);
  }
  SUBCASE("invalid requests get the specified errors and the entry keeps serving") {
    auto unknown_key = CompletionRequest("x", false);
    unknown_key.fields = {{"Authorization", "Bearer nobody"}};
    CHECK(Send(entry_address, unknown_key).status == 401);
    auto malformed = CompletionRequest("x", false);
    malformed.body = "{";
    CHECK(Send(entry_address, malformed).status == 400);
    auto unknown_service = BookingRequest("key-2");
    unknown_service.target = "/services/none/x";
    const auto refusal = Send(entry_address, unknown_service);
    CHECK(refusal.status == 404);
    CHECK(refusal.content_type == "application/problem+json");
    CHECK(json::parse(refusal.body).at("outcome") == "not-run");
    auto long_header = BookingRequest("key-3");
    long_header.fields.push_back({"X-Long", std::string(20'000, 'x')});
    CHECK(Send(entry_address, long_header).status == 431);
    CHECK(Send(entry_address, CompletionRequest("still alive", false)).status == 200);
  }
  CHECK(fleet.Drain());
}

}  // namespace
}  // namespace lagoonwind::testing
