// A fake of the platform's store and a fake backend server, which run in the
// process of the test.
//
//     test::fake_store store;
//     store.put("servers", "i-1", entry);
//     test::fake_server server;
//     server.answer(0, "done");

#ifndef FILBERTHUB_TEST_ROUTER_FAKE_PLATFORM_HPP
#define FILBERTHUB_TEST_ROUTER_FAKE_PLATFORM_HPP

#include "router/raw_server.hpp"

#include <filberthub/base/json_reader.hpp>
#include <filberthub/net/http_listener.hpp>

#include <QtCore/QByteArray>
#include <QtCore/QUrlQuery>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace filberthub::test {

// Answers lists, reads, writes and watches. Conditions of writes are not
// checked, unless the store reports an epoch.
class fake_store
{
public:
    fake_store()
        : listener_({}, [this](std::shared_ptr<http_exchange> exchange) {
              handle(std::move(exchange));
          })
    {
        listener_.listen({"127.0.0.1", 0});
    }

    endpoint address() const
    {
        return listener_.address();
    }

    // Sets the content of an object.
    void put(
        const std::string& kind, const std::string& name, const json& content)
    {
        objects_[kind][name] = next_object(name, content);
        add_event(kind, objects_[kind][name], false);
    }

    // Removes an object.
    void remove(const std::string& kind, const std::string& name)
    {
        objects_[kind].erase(name);
        add_event(kind, next_object(name, nullptr), true);
    }

    // Number of calls that listed all objects of a kind.
    std::size_t lists(const std::string& kind) const
    {
        const auto found = lists_.find(kind);
        return found == lists_.end() ? 0 : found->second;
    }

    // Number of calls that read a page of a list of a kind.
    std::size_t pages(const std::string& kind) const
    {
        const auto found = pages_.find(kind);
        return found == pages_.end() ? 0 : found->second;
    }

    // Number of calls that watched a kind.
    std::size_t watches(const std::string& kind) const
    {
        const auto found = watch_calls_.find(kind);
        return found == watch_calls_.end() ? 0 : found->second;
    }

    std::uint64_t revision() const
    {
        return revision_;
    }

    // Sets the header with the epoch, of any text.
    void set_epoch(const std::string& epoch)
    {
        epoch_ = epoch;
    }

    // The objects and the revision of the store.
    struct copy
    {
        std::map<std::string, std::map<std::string, json>> objects;
        std::uint64_t revision = 0;
    };

    copy make_copy() const
    {
        return {objects_, revision_};
    }

    // Goes back to a copy and reports this epoch from now on. Open watches get
    // status 410, as any that is later than the revision.
    void restore(const copy& earlier, const std::string& epoch)
    {
        objects_ = earlier.objects;
        revision_ = earlier.revision;
        events_.clear();
        epoch_ = epoch;
        for (const open_watch& watch : std::exchange(watches_, {}))
            watch.exchange->respond(make_response(410, json::object()));
    }

    // Sets the number of objects in a page of a list, and a function that is
    // called after each page with further ones.
    void set_pages(std::size_t size, std::function<void()> after_page = {})
    {
        page_size_ = size;
        after_page_ = std::move(after_page);
    }

    // Whether each call of a list gets the first page.
    void set_repeating(bool repeating)
    {
        repeating_ = repeating;
    }

    // Whether calls get no answer. Watches that are open are answered.
    void set_silent(bool silent)
    {
        silent_ = silent;
    }

    // Whether calls are answered with status 503.
    void set_failing(bool failing)
    {
        failing_ = failing;
    }

    // Whether calls that change an object are answered with status 503.
    void set_read_only(bool read_only)
    {
        read_only_ = read_only;
    }

    // Number of calls that would have changed an object.
    std::size_t refused_changes() const
    {
        return refused_changes_;
    }

private:
    http_response make_response(int status, const json& body) const
    {
        http_response response;
        response.status = status;
        if (!epoch_.empty())
            response.headers.set("Store-Era", epoch_);
        response.body = body.dump();
        return response;
    }

    static std::string percent_decoded(const std::string& text)
    {
        return QByteArray::fromPercentEncoding(QByteArray::fromStdString(text))
            .toStdString();
    }

    // Returns a value of the query of a target, or an empty text. Reads it as a
    // form, in which a plus sign stands for a space.
    static std::string query_value(
        const std::string& target, const std::string& name)
    {
        QString query =
            QString::fromStdString(target).section('#', 0, 0).section('?', 1);
        query.replace('+', "%20");
        return QUrlQuery(query)
            .queryItemValue(QString::fromStdString(name), QUrl::FullyDecoded)
            .toStdString();
    }

    static std::uint64_t number_in(
        const std::string& target, const std::string& field)
    {
        return std::stoull(target.substr(target.find(field) + field.size()));
    }

    struct event
    {
        std::string kind;
        json object;
        bool deleted = false;
    };

    struct open_watch
    {
        std::string kind;
        std::uint64_t after = 0;
        std::shared_ptr<http_exchange> exchange;
    };

    json next_object(const std::string& name, const json& content)
    {
        ++revision_;
        return {{"Metadata", {{"Name", name}, {"Revision", revision_}}},
            {"Spec", content}};
    }

    void add_event(const std::string& kind, const json& object, bool deleted)
    {
        events_.push_back({kind, object, deleted});
        std::erase_if(watches_,
            [this](const open_watch& watch) { return answer(watch); });
    }

    // Answers a watch if there are events for it, and returns whether it did.
    bool answer(const open_watch& watch) const
    {
        json found = json::array();
        for (const event& item : events_) {
            const json& revision = item.object.at("Metadata").at("Revision");
            if (item.kind == watch.kind &&
                revision.get<std::uint64_t>() > watch.after)
                found.push_back(
                    {{"Object", item.object}, {"Deleted", item.deleted}});
        }
        if (found.empty())
            return false;
        watch.exchange->respond(make_response(
            200, {{"events", found}, {"StoreRevision", revision_}}));
        return true;
    }

    void handle_watch(
        const std::string& kind, std::shared_ptr<http_exchange> exchange)
    {
        const std::string& target = exchange->request().target;
        const std::uint64_t after = number_in(target, "Watch=");
        ++watch_calls_[kind];
        const bool waits = number_in(target, "WaitMs=") > 1;
        const open_watch watch{kind, after, std::move(exchange)};
        if (after > revision_) {
            watch.exchange->respond(make_response(410, json::object()));
            return;
        }
        if (answer(watch))
            return;
        if (waits) {
            watches_.push_back(watch);
            return;
        }
        watch.exchange->respond(make_response(
            200, {{"events", json::array()}, {"StoreRevision", revision_}}));
    }

    void handle(std::shared_ptr<http_exchange> exchange)
    {
        const http_request& request = exchange->request();
        if (silent_) {
            unanswered_.push_back(std::move(exchange));
            return;
        }
        const bool refused = read_only_ && request.method != "GET";
        refused_changes_ += refused ? 1 : 0;
        if (failing_ || refused) {
            exchange->respond(make_response(503, json::object()));
            return;
        }
        const std::string prefix = "/-/objects/";
        const std::string path =
            percent_decoded(request.target.substr(0, request.target.find('?'))
                                .substr(prefix.size()));
        const std::size_t slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        if (request.target.find("Watch=") != std::string::npos) {
            handle_watch(kind, std::move(exchange));
            return;
        }
        if (request.method != "GET") {
            const json document = json::parse(request.body);
            const std::string name =
                slash == std::string::npos
                    ? document.at("Metadata").at("Name").get<std::string>()
                    : path.substr(slash + 1);
            const auto stored = objects_[kind].find(name);
            const json expected =
                document.at("Metadata").value("Revision", json(nullptr));
            const json present = stored == objects_[kind].end()
                                     ? json(nullptr)
                                     : stored->second["Metadata"]["Revision"];
            if (!epoch_.empty() && expected != present) {
                exchange->respond(make_response(409, json::object()));
                return;
            }
            put(kind, name, document.at("Spec"));
            exchange->respond(make_response(200, objects_[kind][name]));
            return;
        }
        if (slash != std::string::npos) {
            const auto found = objects_[kind].find(path.substr(slash + 1));
            exchange->respond(found == objects_[kind].end()
                                  ? make_response(404, json::object())
                                  : make_response(200, found->second));
            return;
        }
        const std::string after =
            repeating_ ? "" : query_value(request.target, "after");
        ++pages_[kind];
        if (after.empty())
            ++lists_[kind];
        json items = json::array();
        bool more = false;
        for (const auto& [name, object] : objects_[kind]) {
            if (name <= after)
                continue;
            more = items.size() == page_size_;
            if (more)
                break;
            items.push_back(object);
        }
        exchange->respond(
            make_response(200, {{"items", items}, {"HasMore", more},
                                   {"StoreRevision", revision_}}));
        if (more && after_page_)
            after_page_();
    }

    http_listener listener_;
    std::map<std::string, std::map<std::string, json>> objects_;
    std::vector<event> events_;
    std::vector<open_watch> watches_;
    std::uint64_t revision_ = 100;
    bool failing_ = false;
    bool read_only_ = false;
    std::size_t refused_changes_ = 0;
    bool silent_ = false;
    std::vector<std::shared_ptr<http_exchange>> unanswered_;
    std::string epoch_;
    std::size_t page_size_ = 1'000;
    std::function<void()> after_page_;
    bool repeating_ = false;
    std::map<std::string, std::size_t> lists_;
    std::map<std::string, std::size_t> pages_;
    std::map<std::string, std::size_t> watch_calls_;
};

// Keeps each request open until the test answers it.
class fake_server
{
public:
    fake_server()
        : listener_({}, [this](std::shared_ptr<http_exchange> exchange) {
              requests.push_back(std::move(exchange));
          })
    {
        listener_.listen({"127.0.0.1", 0});
    }

    endpoint address() const
    {
        return listener_.address();
    }

    // Answers the request that arrived as number `index`, from 0.
    void answer(std::size_t index, const std::string& body)
    {
        http_response response;
        response.headers.set("X-Filberthub-Server-Signature", "signed");
        response.headers.set("X-Filberthub-Request-Id",
            std::string(requests.at(index)
                            ->request()
                            .headers.get("X-Filberthub-Request-Id")
                            .value_or("")));
        response.body = body;
        requests.at(index)->respond(std::move(response));
    }

    std::vector<std::shared_ptr<http_exchange>> requests;

private:
    http_listener listener_;
};

} // namespace filberthub::test

#endif
