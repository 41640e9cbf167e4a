#include <cicadalug/document/resource_document.hpp>
#include <cicadalug/settings/yaml_section.hpp>

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <system_error>
#include <utility>

namespace cicadalug {

namespace {

using nlohmann::json;

/** @brief Maximum nesting depth; resources need four levels. Also bounds recursive aliases. */
constexpr int max_nesting_depth{32};
/** @brief Maximum number of nodes of a document. Without it, nested aliases expand exponentially. */
constexpr std::size_t max_node_count{200'000};

/** @brief Converts one YAML document into JSON and records the location of each member. */
class yaml_converter {
public:
    yaml_converter(const std::string_view file, std::map<std::string, std::string>& locations, findings& found)
        : m_file{file}, m_locations{locations}, m_found{found}
    {
    }

    [[nodiscard]] auto convert(const YAML::Node& node, const std::string& path, const int depth) -> json
    {
        m_locations.emplace(path, yaml_place(m_file, node.Mark()));
        if (depth > max_nesting_depth || ++m_nodes > max_node_count) {
            if (!std::exchange(m_too_large, true)) {
                m_found.add(yaml_place(m_file, node.Mark()), "the document is nested too deeply or too large");
            }
            return nullptr;
        }
        switch (node.Type()) {
        case YAML::NodeType::Map:
            return convert_map(node, path, depth);
        case YAML::NodeType::Sequence:
            return convert_sequence(node, path, depth);
        case YAML::NodeType::Scalar:
            return convert_scalar(node);
        default:
            return nullptr;
        }
    }

private:
    [[nodiscard]] auto convert_map(const YAML::Node& node, const std::string& path, const int depth) -> json
    {
        auto object = json::object();
        for (const auto& entry : node) {
            if (!entry.first.IsScalar()) {
                m_found.add(yaml_place(m_file, entry.first.Mark()), "the key is not a string");
                continue;
            }
            const auto& name = entry.first.Scalar();
            auto member = path;
            if (!member.empty()) {
                member += '.';
            }
            member += name;
            if (object.contains(name)) {
                m_found.add(yaml_place(m_file, entry.first.Mark()), "'" + name + "' is given more than once");
            }
            object[name] = convert(entry.second, member, depth + 1);
        }
        return object;
    }

    [[nodiscard]] auto convert_sequence(const YAML::Node& node, const std::string& path, const int depth) -> json
    {
        auto list = json::array();
        for (const auto& item : node) {
            list.push_back(convert(item, path + '[' + std::to_string(list.size()) + ']', depth + 1));
        }
        return list;
    }

    /** @brief Converts a scalar by the JSON schema of YAML: a quoted scalar has the tag "!" and is always a string. */
    [[nodiscard]] static auto convert_scalar(const YAML::Node& node) -> json
    {
        const auto& text = node.Scalar();
        if (node.Tag() == "!") {
            return text;
        }
        if (text == "true" || text == "false") {
            return text == "true";
        }
        if (text == "null" || text == "~") {
            return nullptr;
        }
        auto number = json::parse(text, nullptr, false);
        return number.is_number() ? number : json(text);
    }

    std::string_view m_file;
    std::map<std::string, std::string>& m_locations;
    findings& m_found;
    std::size_t m_nodes{0};
    bool m_too_large{false};
};

auto add_document(const YAML::Node& node, const std::string_view file, findings& found,
                  std::vector<resource_document>& documents) -> void
{
    resource_document document;
    findings conversion_errors;
    const auto value = yaml_converter{file, document.m_locations, conversion_errors}.convert(node, {}, 0);
    if (!conversion_errors.empty()) {
        found.append(conversion_errors);
        return;
    }
    auto read = resource_from_json(value);
    if (!read) {
        append_with_location(document, read.assume_error(), found);
        return;
    }
    document.m_resource = std::move(read).assume_value();
    documents.push_back(std::move(document));
}

} // namespace

auto append_with_location(const resource_document& document, const findings& errors, findings& found) -> void
{
    for (const auto& [path, message] : errors.items()) {
        auto known_path = path;
        auto position = document.m_locations.find(known_path);
        // A missing member has no location; that of the nearest enclosing object is used instead.
        while (position == document.m_locations.end() && !known_path.empty()) {
            const auto separator = known_path.find_last_of(".[");
            known_path.resize(separator == std::string::npos ? 0 : separator);
            position = document.m_locations.find(known_path);
        }
        const auto location = position == document.m_locations.end() ? std::string{} : position->second + ": ";
        found.add(location + path, message);
    }
}

auto parse_resource_documents(const std::string& text, const std::string_view file, findings& found)
    -> std::vector<resource_document>
{
    std::vector<resource_document> documents;
    try {
        for (const auto& node : YAML::LoadAll(text)) {
            if (node.IsSequence()) {
                for (const auto& item : node) {
                    add_document(item, file, found, documents);
                }
            }
            else if (!node.IsNull()) {
                add_document(node, file, found, documents);
            }
        }
    }
    catch (const YAML::Exception& error) {
        found.add(yaml_place(file, error.mark), "is not valid YAML: " + error.msg);
    }
    return documents;
}

auto load_resource_documents(const std::string& path, findings& found) -> std::vector<resource_document>
{
    namespace fs = std::filesystem;
    std::error_code error;
    std::set<fs::path> files;
    if (fs::is_directory(path, error)) {
        for (const auto& entry : fs::directory_iterator{path, error}) {
            const auto extension = entry.path().extension();
            if (extension == ".yaml" || extension == ".yml" || extension == ".json") {
                files.insert(entry.path());
            }
        }
        if (files.empty()) {
            found.add(path, "contains no file with the extension .yaml, .yml or .json");
        }
    }
    else {
        files.insert(path);
    }
    std::vector<resource_document> documents;
    for (const auto& file : files) {
        const std::ifstream stream{file, std::ios::binary};
        std::ostringstream text;
        text << stream.rdbuf();
        if (!stream || !text) {
            found.add(file.string(), "cannot be read");
            continue;
        }
        auto read = parse_resource_documents(text.str(), file.string(), found);
        std::move(read.begin(), read.end(), std::back_inserter(documents));
    }
    return documents;
}

} // namespace cicadalug
