#include "version/locatedjson.h"

#include <boost/json/basic_parser_impl.hpp>

#include <utility>

namespace cicadagap {

namespace json = boost::json;

namespace {

// Receives the events of the parser and builds the located values. parseLocated() sets `line` to
// the number of the line that it passes to the parser.
class Builder
{
public:
    // NOLINTBEGIN(readability-identifier-naming): Boost.JSON requires these names.
    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1);

    using Error = json::error_code;

    bool on_document_begin(Error &) { return true; }
    bool on_document_end(Error &) { return true; }
    bool on_object_begin(Error &) { return openContainer(LocatedValue::Object{}); }
    bool on_object_end(std::size_t, Error &) { return closeContainer(); }
    bool on_array_begin(Error &) { return openContainer(LocatedValue::Array{}); }
    bool on_array_end(std::size_t, Error &) { return closeContainer(); }
    bool on_key_part(json::string_view part, std::size_t, Error &) { return appendText(part); }
    bool on_key(json::string_view part, std::size_t, Error &)
    {
        appendText(part);
        auto &object = std::get<LocatedValue::Object>(m_openContainers.back().data);
        object.push_back({std::exchange(m_partialText, {}), {}, line});
        return true;
    }
    bool on_string_part(json::string_view part, std::size_t, Error &) { return appendText(part); }
    bool on_string(json::string_view part, std::size_t, Error &)
    {
        appendText(part);
        return addValue({std::exchange(m_partialText, {}), line});
    }
    bool on_number_part(json::string_view, Error &) { return true; }
    bool on_int64(std::int64_t number, json::string_view, Error &)
    {
        return addValue({number, line});
    }
    bool on_uint64(std::uint64_t number, json::string_view, Error &)
    {
        return addValue({static_cast<double>(number), line});
    }
    bool on_double(double number, json::string_view, Error &) { return addValue({number, line}); }
    bool on_bool(bool value, Error &) { return addValue({value, line}); }
    bool on_null(Error &) { return addValue({nullptr, line}); }
    bool on_comment_part(json::string_view, Error &) { return true; }
    bool on_comment(json::string_view, Error &) { return true; }
    // NOLINTEND(readability-identifier-naming)

    int line = 1;
    LocatedValue root;

private:
    bool appendText(json::string_view part)
    {
        m_partialText.append(part.data(), part.size());
        return true;
    }

    template <typename Container> bool openContainer(Container container)
    {
        m_openContainers.push_back({std::move(container), line});
        return true;
    }

    bool closeContainer()
    {
        LocatedValue value = std::move(m_openContainers.back());
        m_openContainers.pop_back();
        return addValue(std::move(value));
    }

    bool addValue(LocatedValue value)
    {
        if (m_openContainers.empty()) {
            root = std::move(value);
            return true;
        }
        if (auto *object = std::get_if<LocatedValue::Object>(&m_openContainers.back().data))
            object->back().value.push_back(std::move(value));
        else
            std::get<LocatedValue::Array>(m_openContainers.back().data).push_back(std::move(value));
        return true;
    }

    std::vector<LocatedValue> m_openContainers; // The innermost one is last.
    std::string m_partialText;                  // Of the string or key that is being parsed.
};

} // namespace

std::string Problem::text() const
{
    std::string text = file;
    if (line > 0)
        text += ":" + std::to_string(line);
    if (!key.empty())
        text += ": " + key;
    return text + ": " + message;
}

const LocatedValue *LocatedValue::member(std::string_view key) const
{
    const auto *object = std::get_if<Object>(&data);
    if (!object)
        return nullptr;
    for (const LocatedMember &member : *object) {
        if (member.key == key)
            return &member.value.front();
    }
    return nullptr;
}

std::optional<LocatedValue> parseLocated(std::string_view text, const std::string &file,
                                         Problems *problems)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::basic_parser<Builder> parser(options);
    Builder &builder = parser.handler();
    json::error_code error;
    std::size_t start = 0;
    while (start < text.size() && !error) {
        const std::size_t end = std::min(text.find('\n', start), text.size() - 1) + 1;
        const std::string_view line = text.substr(start, end - start);
        const std::size_t consumed = parser.write_some(true, line.data(), line.size(), error);
        if (!error && consumed < line.size())
            error = json::error::extra_data;
        start = end;
        if (!error && start < text.size())
            ++builder.line;
    }
    if (!error)
        parser.write_some(false, nullptr, 0, error);
    if (error) {
        problems->push_back({file, builder.line, "", "not JSON: " + error.message()});
        return std::nullopt;
    }
    return std::move(builder.root);
}

} // namespace cicadagap
