#include <cicadalug/api/precondition.hpp>
#include <cicadalug/api/resource_api.hpp>
#include <cicadalug/platform/compare_and_swap.hpp>
#include <cicadalug/replication/change_sender.hpp>

#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace cicadalug {

namespace {

using nlohmann::json;

constexpr std::string_view resources_path{"/v1/resources/"};
constexpr milliseconds watch_progress_interval{1'000};
/** @brief Maximum number of attempts to create a resource over the tombstone of a deleted one of the same name. */
constexpr int create_attempts{3};

[[nodiscard]] auto key_of(const std::string& kind, const std::string& name) -> std::string
{
    return std::string{resource_prefix} + kind + '/' + name;
}

[[nodiscard]] auto header(const http_request& request, const http::field field) -> std::string_view
{
    const auto value = request[field];
    return {value.data(), value.size()};
}

/** @brief Parses a stored resource; returns nullopt if it is deleted or malformed. */
[[nodiscard]] auto stored_resource(const versioned_value& value) -> std::optional<resource>
{
    if (value.m_version == version{} || value.m_deleted) {
        return std::nullopt;
    }
    auto parsed = parse_resource(value.m_value);
    if (!parsed || parsed.assume_value().m_deleted) {
        return std::nullopt;
    }
    auto item = std::move(parsed).assume_value();
    item.m_version = value.m_version;
    return item;
}

[[nodiscard]] auto with_version(http_response response, const version current) -> http_response
{
    response.set(http::field::etag, '"' + std::to_string(current.value()) + '"');
    return response;
}

[[nodiscard]] auto conflict_response(const version current) -> http_response
{
    json body{{"version", current.value()}};
    body["findings"] = json::array(
        {{{"place", "version"},
          {"message", current == version{} ? "the resource does not exist" : "the resource has another version"}}});
    return with_version(json_response(http::status::conflict, body), current);
}

[[nodiscard]] auto error_response(const platform_error& error) -> http_response
{
    if (error.m_kind == platform_error_kind::unknown) {
        return findings_response(
            http::status::gateway_timeout,
            findings{"platform",
                     "the answer was lost; read the resource to see whether it changed: " + error.m_message});
    }
    return findings_response(http::status::service_unavailable,
                             findings{"platform", "nothing was changed: " + error.m_message});
}

} // namespace

resource_api::resource_api(platform_client& platform, write_id_source& ids, replica& local_replica,
                           membership_service& members)
    : m_platform{platform}, m_ids{ids}, m_replica{local_replica}, m_members{members}
{
}

auto resource_api::resource_json(const versioned_entry& entry) const -> json
{
    const auto item = stored_resource(entry.m_value);
    if (!item) {
        const auto rest = entry.m_key.substr(resource_prefix.size());
        const auto slash = std::min(rest.find('/'), rest.size());
        return {{"kind", rest.substr(0, slash)},
                {"name", rest.substr(std::min(slash + 1, rest.size()))},
                {"version", entry.m_value.m_version.value()},
                {"deleted", true}};
    }
    auto body = to_json(*item);
    body.erase("write_id");
    body["status"] = m_status ? m_status(*item) : json::object();
    return body;
}

auto resource_api::list(const std::string& kind) const -> http_response
{
    const auto prefix = key_of(kind, {});
    auto items = json::array();
    auto entries = m_replica.entries_above(version{}, replica_scope::resources);
    std::sort(entries.begin(), entries.end(),
              [](const auto& left, const auto& right) { return left.m_key < right.m_key; });
    for (const auto& entry : entries) {
        if (entry.m_key.starts_with(prefix) && stored_resource(entry.m_value)) {
            items.push_back(resource_json(entry));
        }
    }
    return json_response(http::status::ok, {{"version", m_replica.highest().value()}, {"items", std::move(items)}});
}

auto resource_api::read(const std::string& kind, const std::string& name) const -> http_response
{
    const auto key = key_of(kind, name);
    const auto value = m_replica.find(key);
    if (!stored_resource(value)) {
        return findings_response(http::status::not_found, findings{"name", "no " + kind + " '" + name + "'"});
    }
    return with_version(json_response(http::status::ok, resource_json({key, value})), value.m_version);
}

auto resource_api::parse_change(const http_request& request, const std::string& kind, const std::string& name,
                                findings& found) const -> resource
{
    const auto view = m_replica.view();
    resource item;
    if (request.method() == http::verb::delete_) {
        item.m_kind = *parse_resource_kind(kind);
        item.m_name = name;
        item.m_deleted = true;
        found.append(validate_resource(item, *view));
        return item;
    }
    auto parsed = parse_and_validate_resource(request.body(), *view);
    if (!parsed) {
        found.append(parsed.assume_error());
        return item;
    }
    item = std::move(parsed).assume_value();
    if (to_string(item.m_kind) != kind) {
        found.add("kind", "is not the kind of the path, " + kind);
    }
    if (item.m_name != name) {
        found.add("name", "is not the name of the path, " + name);
    }
    return item;
}

auto resource_api::write(resource item, version expected, const bool create) -> asio::awaitable<http_response>
{
    const auto key = key_of(std::string{to_string(item.m_kind)}, item.m_name);
    for (int attempt = 0; attempt < create_attempts; ++attempt) {
        const auto id = m_ids.next();
        item.m_write_id = id;
        item.m_version = version{};
        kv_write request;
        request.m_key = key;
        request.m_value = to_json(item).dump();
        request.m_expected = expected;
        request.m_write_id = id;
        const auto written = co_await compare_and_swap(m_platform, request);
        if (written) {
            const versioned_entry entry{key, {written.assume_value(), request.m_value, false}};
            m_replica.merge({entry});
            m_members.send_to_zone(make_record_change(entry));
            m_members.send_to_other_zones(make_record_change(entry));
            LOG(INFO) << "event=resource_written key=" << key << " version=" << entry.m_value.m_version;
            const auto status = create ? http::status::created : http::status::ok;
            co_return with_version(json_response(status, resource_json(entry)), entry.m_value.m_version);
        }
        const auto& error = written.assume_error();
        if (error.m_kind != platform_error_kind::conflict) {
            co_return error_response(error);
        }
        const auto& current = error.m_current;
        const versioned_value now{current.m_version, current.m_value, current.m_deleted};
        m_replica.merge({{key, now}});
        const auto exists = stored_resource(now).has_value();
        if (!create || exists) {
            co_return conflict_response(exists ? current.m_version : version{});
        }
        expected = current.m_version;
    }
    co_return conflict_response(version{});
}

auto resource_api::handle_read(const std::string& kind, const std::string& name) const -> http_response
{
    return name.empty() ? list(kind) : read(kind, name);
}

auto resource_api::handle(http_exchange& exchange, const http_target target) -> asio::awaitable<void>
{
    // Responses are assigned to a variable before the co_await, because GCC 12 destroys the temporaries of a
    // conditional expression in a co_await twice.
    const auto& request = exchange.request();
    const auto rest = target.m_path.substr(std::min(resources_path.size(), target.m_path.size()));
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string{} : rest.substr(slash + 1);
    const auto is_read = request.method() == http::verb::get;
    const auto is_write = request.method() == http::verb::put || request.method() == http::verb::delete_;
    http_response response;
    findings found;
    if (!parse_resource_kind(kind)) {
        found.add("kind", "unknown kind '" + kind + "'");
        response = findings_response(http::status::not_found, found);
    }
    else if (is_read) {
        response = handle_read(kind, name);
    }
    else if (!is_write || name.empty()) {
        found.add("method", "is not GET, or PUT or DELETE with a name");
        response = findings_response(http::status::method_not_allowed, found);
    }
    else {
        response = co_await handle_write(request, kind, name);
    }
    co_await exchange.respond(std::move(response));
}

auto resource_api::handle_write(const http_request& request, const std::string kind, const std::string name)
    -> asio::awaitable<http_response>
{
    findings found;
    const auto precondition =
        parse_precondition(header(request, http::field::if_match), header(request, http::field::if_none_match), found);
    const auto precondition_missing = !found.empty();
    auto item = parse_change(request, kind, name, found);
    if (!found.empty()) {
        const auto status = precondition_missing && found.items().size() == 1 ? http::status::precondition_required
                                                                              : http::status::bad_request;
        co_return findings_response(status, found);
    }
    co_return co_await write(std::move(item), precondition.m_version, precondition.m_create);
}

auto resource_api::to_json_lines(const std::vector<versioned_entry>& entries) const -> std::string
{
    std::string text;
    for (const auto& entry : entries) {
        if (entry.m_key.starts_with(resource_prefix)) {
            text += resource_json(entry).dump() + '\n';
        }
    }
    return text;
}

auto resource_api::watch(http_exchange& exchange, const http_target target) -> asio::awaitable<void>
{
    const version after{query_number(target, "after", 0)};
    auto sequence = m_replica.changes_after(0).m_sequence;
    auto text = to_json_lines(m_replica.entries_above(after, replica_scope::resources));
    auto open = co_await exchange.begin_stream("application/x-ndjson");
    while (open && !m_stopping_watches) {
        if (text.empty()) {
            text = "{\"version\":" + std::to_string(m_replica.highest().value()) + "}\n";
        }
        open = co_await exchange.write_chunk(text);
        co_await m_replica.wait_for_change(sequence, watch_progress_interval);
        const auto changes = m_replica.changes_after(sequence);
        sequence = changes.m_sequence;
        text = to_json_lines(changes.m_complete ? changes.m_entries
                                                : m_replica.entries_above(after, replica_scope::resources));
    }
}

} // namespace cicadalug
