#include <platform/grant_api.hpp>
#include <platform/object_codec.hpp>
#include <platform/protocol.hpp>
#include <platform/store_api.hpp>

#include <gmock/gmock.h>

#include <filberthub/base/error.hpp>

#include <random>

namespace filberthub::platform_api {
namespace {

using testing::HasSubstr;

constexpr const char* config_text = R"({"Version":"0000001f","Routes":[
  {"Name":"r-1","Hostname":"h.example","PathPrefix":"/a/","RouteType":"unsafe",
   "TimeoutMs":600,"TargetLatencyMs":250,"Priority":1,"Service":"w",
   "MaxAttempts":2},
  {"Name":"r-2","Hostname":"h.example","PathPrefix":"/b/","RouteType":"safe",
   "TimeoutMs":500.0,"TargetLatencyMs":200,"Priority":2,"MaxAttempts":3,
   "TrafficSplit":[{"Service":"x","Weight":90},{"Service":"y","Weight":10}]}],
 "Services":[{"Name":"x","HealthPath":"/healthz","MaxConnections":257,
   "WarmupS":3.0,"WarmupPerS":11.0,"Sharded":true,"WarmS":5.0,"New":1}],
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,
   "HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}})";

// Guards against a pause without end, and against one that is missed because it
// is a fraction.
TEST(decode_rest_test, ReadsSecondsAndBoundsThem)
{
    http_response response;
    response.status = 503;
    EXPECT_FALSE(decode_rest(response));
    response.headers.set(header::retry_after, "0.25");
    EXPECT_EQ(decode_rest(response), milliseconds(250));
    response.headers.set(header::retry_after, "1e300");
    EXPECT_EQ(decode_rest(response), milliseconds(60'000));
    for (const char* text : {"nan", "inf", "-1", "0", "", "1e400", "soon"}) {
        response.headers.set(header::retry_after, text);
        const auto rest = decode_rest(response);
        EXPECT_TRUE(!rest || *rest == milliseconds(60'000)) << text;
    }
    response.headers.set(header::retry_after, "1");
    response.status = 429;
    EXPECT_FALSE(decode_rest(response));
}

// Guards against a repeatable request that is not repeated.
TEST(decode_config_test, TreatsDownloadsAsRepeatable)
{
    for (const auto& [type, repeatable] : {std::pair("safe", true),
             std::pair("download", true), std::pair("upload", false),
             std::pair("unsafe", false), std::pair("other", false)}) {
        std::string text = config_text;
        text.replace(text.find("unsafe"), 6, type);
        EXPECT_EQ(decode_config(text).routes[0].repeatable, repeatable) << type;
    }
}

// Guards against a route that repeats requests that may run only once, and
// against units that are mistaken: some values are in seconds. Unknown names
// are ignored.
TEST(decode_config_test, DecodesRoutesAndServices)
{
    const routing_config config = decode_config(config_text);
    EXPECT_EQ(config.version.value(), 31U);
    ASSERT_EQ(config.routes.size(), 2U);
    EXPECT_FALSE(config.routes[0].repeatable);
    EXPECT_EQ(config.routes[0].answer_timeout, milliseconds(600));
    EXPECT_TRUE(config.routes[1].repeatable);
    ASSERT_EQ(config.routes[1].shares.size(), 2U);
    EXPECT_EQ(config.routes[1].shares[1].weight, 10);
    const service_rule& rule = config.services.at(service_id("x"));
    EXPECT_TRUE(rule.keyed);
    EXPECT_EQ(rule.cold_time, milliseconds(3'000));
    EXPECT_EQ(config.limits.idle_timeout, milliseconds(15'000));
}

// Guards against routes that are open because their accounts were not read: an
// empty list is not a missing one.
TEST(decode_config_test, DecodesAccounts)
{
    const std::string head = R"({"Version":"07","Routes":[{"Hostname":"h",
        "PathPrefix":"/","RouteType":"safe","Service":"s","Public":true}],
        "Services":[])";
    const routing_config config = decode_config(
        head +
        R"(,"Tenants":[{"Name":"cuka620","ApiKeys":["k-1","k-2"],"Priority":0,
        "RatePerS":389,"Burst":38.5},{"Name":"free","ApiKeys":[]}]})");
    EXPECT_TRUE(config.routes.at(0).is_public);
    ASSERT_TRUE(config.accounts);
    ASSERT_EQ(config.accounts->size(), 2U);
    const client_account& first = config.accounts->front();
    EXPECT_EQ(first.keys, (std::vector<std::string>{"k-1", "k-2"}));
    EXPECT_EQ(first.urgency, 0U);
    EXPECT_EQ(first.limit, (account_limit{389, 38.5}));
    EXPECT_FALSE(config.accounts->back().urgency);
    EXPECT_FALSE(config.accounts->back().limit);
    EXPECT_TRUE(decode_config(head + R"(,"Tenants":[]})").accounts);
    EXPECT_FALSE(decode_config(head + R"(,"Tenants":null})").accounts);
    EXPECT_FALSE(decode_config(head + "}").accounts);
}

// Guards against a name or key that splits a header field, and against a key in
// a log line.
TEST(decode_config_test, RejectsMalformedAccounts)
{
    for (const char* account : {R"({"Name":"a\r\nb"})", R"({"Name":""})",
             R"({"Name":"a","ApiKeys":["secret\n"]})",
             R"({"Name":"a","ApiKeys":"secret"})",
             R"({"Name":"a","RatePerS":-1})"}) {
        try {
            decode_config(R"({"Version":"07","Routes":[],"Services":[],
                "Tenants":[)" +
                          std::string(account) + "]}");
            ADD_FAILURE() << account;
        } catch (const error& failure) {
            EXPECT_THAT(failure.what(), HasSubstr("Tenants/0"));
            EXPECT_THAT(failure.what(), testing::Not(HasSubstr("secret")));
        }
    }
}

// Guards against a server that reads another key than the one that was checked.
TEST(decode_api_key_test, ReadsTheOnlyBearerKey)
{
    http_headers headers;
    EXPECT_FALSE(decode_api_key(headers));
    headers.set("Authorization", "bEARER \t k-1 ");
    EXPECT_EQ(decode_api_key(headers), "k-1");
    headers.add("authorization", "Bearer k-2");
    EXPECT_FALSE(decode_api_key(headers));
    for (const char* text : {"Basic k-1", "k-1", "", "Bearerk-1"}) {
        headers.set("Authorization", text);
        EXPECT_FALSE(decode_api_key(headers)) << text;
    }
}

// Guards against a key in one of several fields that reaches a server.
TEST(set_account_test, RemovesCredentials)
{
    http_headers headers;
    headers.set("Authorization", "Basic abc");
    headers.add("authorization", "bearer k-1");
    headers.set("x-filberthub-tenant", "forged");
    headers.add("X-Filberthub-Tenant", "forged");
    set_account(headers, credentials::keep, "");
    EXPECT_EQ(headers.fields().size(), 2U);
    set_account(headers, credentials::remove_keys, "");
    ASSERT_EQ(headers.fields().size(), 1U);
    EXPECT_EQ(headers.get("Authorization"), "Basic abc");
    set_account(headers, credentials::remove, "a");
    ASSERT_EQ(headers.fields().size(), 1U);
    EXPECT_EQ(headers.get("X-Filberthub-Tenant"), "a");
}

// Guards against a configuration error that the operator cannot find.
TEST(decode_config_test, ReportsTheMalformedField)
{
    try {
        decode_config(R"({"Version":"0000zz"})");
        FAIL() << "expected an error";
    } catch (const error& failure) {
        EXPECT_THAT(failure.what(), HasSubstr("Version"));
    }
    EXPECT_THROW(decode_config("[]"), error);
    EXPECT_THROW(decode_config("{"), error);
}

// Guards against a draining server that is taken for a ready one, and against
// an incarnation that is not told from the next by its start.
TEST(decode_server_test, DecodesAnEntry)
{
    const server_entry entry = decode_server(backend_server_id("i-1"),
        R"({"Service":"x","Address":"10.0.0.9:8080","Zone":"a","Version":"v1",
            "Capacity":2,"State":"draining","WarmupLeftMs":1500,"Sequence":4,
            "born":1769435630198})");
    EXPECT_EQ(entry.id.value(), "i-1");
    EXPECT_TRUE(entry.draining);
    EXPECT_EQ(entry.cold_left, milliseconds(1'500));
    EXPECT_EQ(entry.started, 1769435630198U);
    EXPECT_EQ(entry.address, (endpoint{"10.0.0.9", 8080}));
}

// Guards against a crash, or requests to a wrong server, when another writer
// has stored a malformed entry.
TEST(decode_server_test, RefusesMalformedEntries)
{
    for (const char* text :
        {"", "null", "7", "[]", "{}", "\xff\xfe",
            R"({"Service":"x","Address":"10.0.0.9:8080","Zone":"a"})",
            R"({"Service":"x","Address":"10.0.0.9","Zone":"a","Capacity":2,
                "State":"ready","Version":"v1","Sequence":1,"WarmupLeftMs":0})",
            R"({"Service":"x","Address":"10.0.0.9:80","Zone":"a","Capacity":"2",
                "State":"ready","Version":"v1","Sequence":1,"WarmupLeftMs":0})",
            R"({"Service":"x","Address":"10.0.0.9:80","Zone":"a","Capacity":2,
                "State":"resting","Version":"v1","Sequence":1,"WarmupLeftMs":0})",
            R"({"Service":5,"Address":"10.0.0.9:80","Zone":"a","Capacity":2,
                "State":"ready","Version":"v1","Sequence":1,"WarmupLeftMs":0})"})
        EXPECT_THROW(decode_server(backend_server_id("i-1"), text), error)
            << text;
}

// Guards against requests to a server that nobody has registered: the entry of
// another writer lacks a field or has one of another type.
TEST(decode_server_test, RequiresEachFieldOfAnEntry)
{
    const json complete = {{"Service", "x"}, {"Address", "10.0.0.9:80"},
        {"Zone", "a"}, {"Version", "v1"}, {"Capacity", 2}, {"State", "ready"},
        {"WarmupLeftMs", 0}, {"Sequence", 4}};
    const backend_server_id id("i-1");
    EXPECT_NO_THROW(decode_server(id, complete.dump()));
    for (const auto& [field, value] : complete.items()) {
        json entry = complete;
        entry.erase(field);
        EXPECT_THROW(decode_server(id, entry.dump()), error) << field;
        entry[field] = json::array();
        EXPECT_THROW(decode_server(id, entry.dump()), error) << field;
    }
}

// Guards against a server that nobody can connect to, and against times whose
// sums overflow.
TEST(decode_server_test, RefusesValuesOutOfRange)
{
    const auto entry = [](const std::string& address, const std::string& cold) {
        return R"({"Service":"x","Address":")" + address +
               R"(","Zone":"a","Capacity":2,"State":"ready","Version":"v1","Sequence":1,"WarmupLeftMs":)" +
               cold + "}";
    };
    EXPECT_NO_THROW(
        decode_server(backend_server_id("i-1"), entry("10.0.0.9:80", "0")));
    for (const char* address : {"10.0.0.9:0", "10.0.0.9:70000", "10.0.0.9:-1",
             "10.0.0.9:99999999999999999999", "x:80", ":80", "10.0.0:80"})
        EXPECT_THROW(
            decode_server(backend_server_id("i-1"), entry(address, "0")), error)
            << address;
    for (const char* cold :
        {"1e300", "1e400", "9223372036854775808", "-1", "18446744073709551616"})
        EXPECT_THROW(
            decode_server(backend_server_id("i-1"), entry("10.0.0.9:80", cold)),
            error)
            << cold;
}

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

// The contents that another writer may leave in the store.
std::vector<std::string> odd_contents()
{
    return {nested(100'000), nested(1'000), R"({"a":)" + nested(400'000) + "}",
        R"({"Capacity":1e400})", "1e999999", "\"\\ud800\"", "\"\xff\"",
        R"({"Address":"10.0.0.9:99999"})", "{\"a\"}", "[1,,2]",
        "\"" + std::string(100'000, 'x') + "\"",
        R"({"Service":"x","Address":"10.0.0.9:80","Zone":"a","Capacity":2,
            "State":"ready","Version":"v1","Sequence":1,"WarmupLeftMs":0,"Odd":)" +
            nested(100'000) + "}"};
}

// Guards against one odd entry that ends the process or makes the list of all
// servers unreadable.
TEST(decode_list_test, KeepsTheOtherServersBesideAnOddEntry)
{
    const std::string good =
        R"({"Service":"x","Address":"10.0.0.9:80","Zone":"a","Capacity":2,
            "State":"ready","Version":"v1","Sequence":1,"WarmupLeftMs":0})";
    for (const std::string& odd : odd_contents()) {
        const std::string objects =
            R"({"Metadata":{"Name":"odd","Revision":6},"Spec":)" + odd +
            R"(},{"Metadata":{"Name":"good","Revision":7},"Spec":)" + good +
            "}";
        const store_page page = decode_list(object_kind::server,
            R"({"items":[)" + objects + R"(],"StoreRevision":9})");
        ASSERT_EQ(page.objects.size(), 2U) << odd.substr(0, 60);
        EXPECT_THROW(
            decode_server(backend_server_id("odd"), *page.objects[0].value),
            error)
            << odd.substr(0, 60);
        EXPECT_NO_THROW(
            decode_server(backend_server_id("good"), *page.objects[1].value));
    }
}

// The same for the events of a watch and for single objects.
TEST(decode_events_test, KeepsTheOtherServersBesideAnOddEntry)
{
    for (const std::string& odd : odd_contents()) {
        const std::string object =
            R"({"Metadata":{"Name":"odd","Revision":6},"Spec":)" + odd + "}";
        const store_page page = decode_events(object_kind::server,
            R"({"events":[{"Deleted":false,"Object":)" + object +
                R"(},{"Deleted":true,"Object":{"Metadata":{"Name":"i-2",
                "Revision":8}}}],"StoreRevision":9})");
        ASSERT_EQ(page.objects.size(), 2U) << odd.substr(0, 60);
        EXPECT_FALSE(page.objects[1].value);
        EXPECT_EQ(decode_object(object).store_revision, 6U);
        EXPECT_THROW(decode_config(odd), error);
    }
}

// Guards against an object without readable metadata that hides the others.
TEST(decode_list_test, CountsObjectsWithoutReadableMetadata)
{
    for (const char* metadata :
        {"{}", "7", R"({"Name":7,"Revision":1})",
            R"({"Name":"a","Revision":1e400})", R"({"Name":"a","Revision":-1})",
            R"({"Name":"a","Revision":9223372036854775808})"}) {
        const store_page page = decode_list(object_kind::server,
            R"({"items":[{"Metadata":)" + std::string(metadata) +
                R"(},{"Metadata":{"Name":"b","Revision":2},"Spec":{}}],
                "HasMore":true,"StoreRevision":9})");
        EXPECT_EQ(page.unreadable_objects, 1U) << metadata;
        ASSERT_EQ(page.objects.size(), 1U) << metadata;
        EXPECT_EQ(page.next, "b");
        EXPECT_FALSE(page.first_failure.empty());
    }
}

// Names that no server of the platform has.
std::vector<std::string> odd_names()
{
    return {"", " i-1", "i-1 ", "i-1\\n", "i-1\\r\\nA: b", "\\u0000", "i\\t1",
        "\\u007f", "\xc3\xa5", "\\ud83d\\ude00", std::string(257, 'i')};
}

// Guards against a name that splits a header field, and against one that hides
// the other servers.
TEST(decode_list_test, LeavesOutObjectsWithOddNames)
{
    for (const std::string& name : odd_names()) {
        const std::string odd =
            R"({"Metadata":{"Name":")" + name + R"(","Revision":6},"Spec":{}})";
        const store_page page = decode_list(object_kind::server,
            R"({"items":[{"Metadata":{"Name":"b","Revision":2},"Spec":{}},)" +
                odd + R"(],"StoreRevision":9})");
        EXPECT_EQ(page.unreadable_objects, 1U) << name;
        ASSERT_EQ(page.objects.size(), 1U) << name;
        EXPECT_EQ(page.objects[0].key, "server/b");
        // A page of nothing else is not an error, which would end the list.
        EXPECT_NO_THROW(decode_list(object_kind::server,
            R"({"items":[)" + odd + R"(],"StoreRevision":9})"))
            << name;
        const store_page events = decode_events(object_kind::server,
            R"({"events":[{"Object":)" + odd + R"(}],"StoreRevision":9})");
        EXPECT_TRUE(events.objects.empty()) << name;
    }
}

// Guards against a call for the next page that the store rejects or that
// returns the same page again.
TEST(list_call_test, EncodesTheNameBeforeThePage)
{
    EXPECT_EQ(list_call(object_kind::server, "a b&c=\n\xc3\xa5/").target,
        "/-/objects/servers?after=a%20b%26c%3D%0A%C3%A5%2F");
    const std::string name = std::string(255, 'a') + "\xc3\xa5" + "z";
    const store_page page = decode_list(object_kind::server,
        R"({"items":[{"Metadata":{"Name":")" + name +
            R"(","Revision":2}}],"HasMore":true,"StoreRevision":9})");
    ASSERT_TRUE(page.next);
    EXPECT_GT(*page.next, name);
    EXPECT_LT(page.next->size(), name.size() + 4);
    EXPECT_LT(*page.next, std::string(254, 'a') + "b");
    EXPECT_EQ(read_call(object_kind::key_ownership, "a b/c").target,
        "/-/objects/filberthub-keys/a%20b%2Fc");
}

// Guards against a service or failure domain that is put into a message as it
// is.
TEST(decode_server_test, RefusesOddNamesInItsFields)
{
    for (const std::string& name : odd_names()) {
        for (const char* field : {"Service", "Zone"}) {
            json entry = {{"Service", "x"}, {"Address", "10.0.0.9:80"},
                {"Zone", "a"}, {"Capacity", 2}, {"State", "ready"},
                {"Version", "v1"}, {"Sequence", 1}, {"WarmupLeftMs", 0}};
            entry[field] = json::parse('"' + name + '"');
            EXPECT_THROW(
                decode_server(backend_server_id("i-1"), entry.dump()), error)
                << field << " " << name;
        }
    }
}

// Guards against a crash of a decoder on text that is almost right. Each case
// changes some bytes of a valid text; all are drawn from one seed.
TEST(decoders_test, SurviveChangedBytes)
{
    std::mt19937 random(20'261'205);
    const std::vector<std::string> texts = {config_text,
        R"({"items":[{"Metadata":{"Name":"i-1","Revision":7},"Spec":{"a":1}}],
            "HasMore":true,"StoreRevision":530})",
        R"({"Service":"x","Address":"10.0.0.9:8080","Zone":"a","Capacity":2,
            "State":"draining","Version":"v1","Sequence":1,"WarmupLeftMs":1500,"born":1769435630198})"};
    const std::string letters = "[]{}\",:0123456789eE+-.\\ \xff";
    int decoded = 0;
    const auto attempt = [&](const auto& decode) {
        try {
            decode();
            ++decoded;
        } catch (const error&) {
        }
    };
    for (int run = 0; run < 30'000; ++run) {
        std::string text = texts[random() % texts.size()];
        for (unsigned change = random() % 4; change-- > 0;)
            text[random() % text.size()] = letters[random() % letters.size()];
        if (random() % 4 == 0)
            text.insert(random() % text.size(), random() % 200, '[');
        attempt([&] { decode_config(text); });
        attempt([&] { decode_server(backend_server_id("i-1"), text); });
        attempt([&] { decode_list(object_kind::server, text); });
        attempt([&] { decode_events(object_kind::server, text); });
        attempt([&] { decode_object(text); });
    }
    EXPECT_GT(decoded, 1'000);
}

// Guards against a list that ends after its first page.
TEST(decode_list_test, ReturnsObjectsAndTheNextPage)
{
    const store_page page = decode_list(object_kind::server,
        R"({"items":[{"Metadata":{"Name":"i-1","Revision":7},"Spec":{"a":1}}],
            "HasMore":true,"StoreRevision":530})");
    ASSERT_EQ(page.objects.size(), 1U);
    EXPECT_EQ(page.objects[0].key, "server/i-1");
    EXPECT_EQ(store_revision_of(page.objects[0].version), 7U);
    EXPECT_EQ(page.next, "i-1");
    EXPECT_EQ(page.store_revision, 530U);
}

// Guards against a server that stays removed although it was registered again
// right after its removal.
TEST(decode_events_test, OrdersARemovalBeforeALaterCreation)
{
    const store_page page = decode_events(object_kind::server,
        R"({"events":[
            {"Deleted":true,"Object":{"Metadata":{"Name":"i-1","Revision":7}}},
            {"Deleted":false,"Object":{"Metadata":{"Name":"i-1","Revision":8},
             "Spec":{}}}],"StoreRevision":9})");
    ASSERT_EQ(page.objects.size(), 2U);
    EXPECT_FALSE(page.objects[0].value.has_value());
    EXPECT_LT(page.objects[0].version, page.objects[1].version);
}

// Guards against a malformed reply that is taken for an empty list, which would
// remove all servers.
TEST(decode_list_test, RefusesMalformedReplies)
{
    for (const char* text : {"", "{}", "[]", R"({"items":[{}]})",
             R"({"items":7,"StoreRevision":1})"})
        EXPECT_THROW(decode_list(object_kind::server, text), error) << text;
}

// Guards against a write that replaces a newer object of another instance.
TEST(replace_call_test, NamesTheExpectedRevision)
{
    const http_request request =
        replace_call(object_kind::key_ownership, "x", 412, R"({"a":1})");
    EXPECT_EQ(request.method, "PUT");
    EXPECT_THAT(request.body, HasSubstr("\"Revision\":412"));
    EXPECT_THAT(request.body, HasSubstr("\"Spec\":{\"a\":1}"));
}

// Guards against figures that are read from a malformed field.
TEST(decode_load_test, DecodesTheHeaderField)
{
    http_headers headers;
    headers.set("X-Filberthub-Server-Load", "3,1,8,250");
    const auto report = decode_load(headers);
    ASSERT_TRUE(report.has_value());
    EXPECT_EQ(report->running, 3U);
    EXPECT_EQ(report->waiting, 1U);
    EXPECT_EQ(report->slots, 8U);
    EXPECT_DOUBLE_EQ(report->slowdown.value(), 2.5);
    for (const char* text : {"", "3", "3,1", "a,b,c", "-1,0,2", "1,2,3,"}) {
        headers.set("X-Filberthub-Server-Load", text);
        EXPECT_FALSE(decode_load(headers).has_value()) << text;
    }
}

// Guards against a repeat of a request that may have run: a plain 503 does not
// say that it has not.
TEST(says_not_run_test, RecognizesTheFieldAndStatus421)
{
    http_response response;
    response.status = 503;
    EXPECT_FALSE(says_not_run(response));
    response.headers.set("X-Filberthub-Not-Executed", "1");
    EXPECT_TRUE(says_not_run(response));
    http_response misdirected;
    misdirected.status = 421;
    EXPECT_TRUE(says_not_run(misdirected));
}

// Guards against a malformed or too large key that is routed as another one.
TEST(decode_key_test, AcceptsOnlyNumbersInRange)
{
    http_headers headers;
    EXPECT_FALSE(decode_key(headers).has_value());
    headers.set(header::key, "65535");
    EXPECT_EQ(decode_key(headers), 65'535U);
    for (const char* text : {"65536", "-1", "x", ""}) {
        headers.set(header::key, text);
        EXPECT_FALSE(decode_key(headers).has_value()) << text;
    }
}

// Guards against units that are mistaken and against bounds that are ignored
// because they are malformed. Unknown names are ignored.
TEST(decode_bounds_test, ReadsBoundsByName)
{
    const operator_bounds bounds = decode_bounds(json::parse(
        R"({"DrainMs":2500,"GraceS":6,"RetryAllowance":275,"New":"x"})"));
    EXPECT_EQ(bounds.drain, milliseconds(2'500));
    EXPECT_EQ(bounds.stop_grace, milliseconds(6'000));
    EXPECT_EQ(bounds.retry_allowance, 275);
    EXPECT_THROW(decode_bounds(json::parse(R"({"DrainMs":"x"})")), error);
}

// Guards against keys that stay slow after a move because the new owner does
// not get the handover.
TEST(grant_call_test, CarriesTheHandover)
{
    const http_request request = grant_call({4'096, 8'191, fencing_token(12)},
        milliseconds(4'000), key_handover("5c0e"));
    const json body = json::parse(request.body);
    EXPECT_EQ(body, json::parse(R"({"From":4096,"To":8191,"fence":12,
        "HoldMs":4000,"Handover":"5c0e"})"));
    EXPECT_FALSE(json::parse(release_call({0, 1, fencing_token(3)}).body)
                     .contains("Handover"));
}

// Guards against bytes of a server that the call for the next holder cannot
// carry: they ended the coordinator.
TEST(decode_handover_test, RefusesWhatCannotBePassedOn)
{
    http_response response;
    EXPECT_TRUE(decode_handover(response).empty());
    for (const std::string& text : {std::string("5c0e"), std::string("a b"),
             std::string(8'192, 'x'), std::string()}) {
        response.headers.set("X-Filberthub-Handover", text);
        EXPECT_EQ(decode_handover(response).value(), text);
    }
    for (const std::string& text :
        {std::string("\xff\xfe"), std::string("a\xc3"), std::string("\x80"),
            std::string("a\tb"), std::string(8'193, 'x')}) {
        response.headers.set("X-Filberthub-Handover", text);
        EXPECT_THROW(decode_handover(response), error) << text.size();
    }
}

} // namespace
} // namespace filberthub::platform_api
