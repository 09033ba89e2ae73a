#include "burnreport.h"

#include "connection/wire.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace cicadagap {

namespace json = boost::json;

namespace {

constexpr double AlarmBurnRate = 14.4; // Uses up two percent of a month's error budget in an hour.

double burnRateOf(const BurnRow &row, std::size_t window)
{
    return burnRate(row.windows.at(window), row.goodPercent);
}

std::string formatFixed(double value, int digits)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(digits) << value;
    return text.str();
}

BurnRow *findOrAddRow(std::vector<BurnRow> *rows, const BurnRow &identity)
{
    for (BurnRow &row : *rows) {
        if (row.team == identity.team && row.className == identity.className)
            return &row;
    }
    rows->push_back(identity);
    return &rows->back();
}

} // namespace

bool addBurnPage(std::string_view page, std::vector<BurnRow> *rows)
{
    const auto object = parseObject(page, nullptr);
    const json::value *list = object ? object->if_contains("burn") : nullptr;
    if (!list || !list->is_array())
        return false;
    for (const json::value &value : list->get_array()) {
        if (!value.is_object())
            return false;
        const json::object &item = value.get_object();
        BurnRow identity;
        identity.team = textMember(item, "team");
        identity.className = textMember(item, "class");
        identity.latencyMs = numberMember(item, "latencyMs");
        const json::value *objective = item.if_contains("goodPercent");
        identity.goodPercent
            = objective && objective->is_number() ? objective->to_number<double>() : 0;
        BurnRow *row = findOrAddRow(rows, identity);
        const json::value *windows = item.if_contains("windows");
        if (!windows || !windows->is_array() || windows->get_array().size() != BurnWindows.size())
            return false;
        for (std::size_t i = 0; i < BurnWindows.size(); ++i) {
            const json::value &window = windows->get_array()[i];
            if (!window.is_object())
                return false;
            row->windows.at(i).good
                += static_cast<std::uint64_t>(numberMember(window.get_object(), "good"));
            row->windows.at(i).bad
                += static_cast<std::uint64_t>(numberMember(window.get_object(), "bad"));
        }
    }
    return true;
}

double budgetLeft(const BurnRow &row)
{
    return std::max(0.0, 100.0 * (1.0 - burnRateOf(row, BurnWindows.size() - 1)));
}

std::string burnTable(const std::vector<BurnRow> &rows)
{
    std::ostringstream table;
    table << std::left << std::setw(16) << "team" << std::setw(14) << "class" << std::setw(20)
          << "objective" << std::setw(12) << "answers" << std::setw(8) << "bad" << std::setw(10)
          << "burn 5m" << std::setw(10) << "burn 1h"
          << "budget left\n";
    for (const BurnRow &row : rows) {
        const AnswerCounts longest = row.windows.back();
        const std::string objective
            = formatFixed(row.goodPercent, 2) + "% in " + std::to_string(row.latencyMs) + " ms";
        table << std::setw(16) << row.team << std::setw(14) << row.className << std::setw(20)
              << objective << std::setw(12) << longest.good + longest.bad << std::setw(8)
              << longest.bad << std::setw(10) << formatFixed(burnRateOf(row, 0), 2) << std::setw(10)
              << formatFixed(burnRateOf(row, 1), 2) << formatFixed(budgetLeft(row), 1) << "%\n";
    }
    return table.str();
}

std::string burnJson(const std::vector<BurnRow> &rows)
{
    json::array list;
    for (const BurnRow &row : rows) {
        json::object item{{"team", row.team},
                          {"class", row.className},
                          {"latencyMs", row.latencyMs},
                          {"goodPercent", row.goodPercent},
                          {"budgetLeftPercent", budgetLeft(row)}};
        json::array windows;
        for (std::size_t i = 0; i < BurnWindows.size(); ++i) {
            windows.push_back(json::object{{"windowMs", BurnWindows.at(i).count()},
                                           {"good", row.windows.at(i).good},
                                           {"bad", row.windows.at(i).bad},
                                           {"burnRate", burnRateOf(row, i)}});
        }
        item["windows"] = std::move(windows);
        list.push_back(std::move(item));
    }
    return json::serialize(json::object{{"burn", std::move(list)}}) + "\n";
}

std::string burnSvg(const std::vector<BurnRow> &rows)
{
    constexpr int RowHeight = 48;
    constexpr int LabelWidth = 220;
    constexpr int BarWidth = 420;
    constexpr int Top = 50;
    const int height = Top + static_cast<int>(rows.size()) * RowHeight + 30;
    std::ostringstream svg;
    svg << "<svg xmlns='http://www.w3.org/2000/svg' width='" << LabelWidth + BarWidth + 90
        << "' height='" << height << "' font-family='sans-serif' font-size='13'>\n"
        << "<rect width='100%' height='100%' fill='white'/>\n"
        << "<text x='12' y='24' font-size='16'>Burn rate by class (1 uses up the error budget; bar "
           "ends "
           "at "
        << AlarmBurnRate << ")</text>\n";
    int y = Top;
    for (const BurnRow &row : rows) {
        svg << "<text x='12' y='" << y + 20 << "'>" << row.team << " / " << row.className
            << "</text>\n";
        for (std::size_t i = 0; i < BurnWindows.size(); ++i) {
            const double value = burnRateOf(row, i);
            const double length = std::min(value / AlarmBurnRate, 1.0) * BarWidth;
            const int barY = y + 4 + static_cast<int>(i) * 18;
            const char *colour = value >= 1 ? "#b03030" : "#3a7d44";
            svg << "<rect x='" << LabelWidth << "' y='" << barY << "' width='" << BarWidth
                << "' height='14' fill='#eeeeee'/>\n<rect x='" << LabelWidth << "' y='" << barY
                << "' width='" << formatFixed(length, 1) << "' height='14' fill='" << colour
                << "'/>\n<text x='" << LabelWidth + BarWidth + 8 << "' y='" << barY + 12 << "'>"
                << formatFixed(value, 2) << (i == 0 ? " (5 min)" : " (1 h)") << "</text>\n";
        }
        y += RowHeight;
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace cicadagap
