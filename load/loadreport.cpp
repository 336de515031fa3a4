#include "load/loadreport.h"

#include "ibismast/core/priorityclass.h"
#include "ibismast/core/resultcode.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iomanip>
#include <ostream>

namespace ibismast::load
{

namespace
{

constexpr std::array VerdictNames {
    std::pair {Verdict::Answered, "answered"},
    std::pair {Verdict::Failed, "failed"},
    std::pair {Verdict::Late, "late"},
    std::pair {Verdict::Lost, "lost"},
    std::pair {Verdict::Wrong, "wrong"},
    std::pair {Verdict::Duplicate, "duplicate"},
};

double toMilliseconds(Duration duration)
{
    return toSeconds(duration) * 1e3;
}

std::string_view className(const Outcome &outcome)
{
    return outcome.request.service ? "service" : toString(classifyPrompt(outcome.request.promptTokens));
}

std::vector<Duration> firstTokens(const std::vector<const Outcome *> &group)
{
    std::vector<Duration> values;
    for (const Outcome *outcome : group) {
        if (outcome->firstToken >= Duration::zero()) {
            values.push_back(outcome->firstToken);
        }
    }
    return values;
}

std::string codeName(int code)
{
    for (const ResultCodeInfo &info : resultCodes()) {
        if (static_cast<int>(info.code) == code) {
            return std::string(info.name);
        }
    }
    return "unknown";
}

} // namespace

std::string_view toString(Verdict verdict)
{
    return std::ranges::find(VerdictNames,
                             verdict,
                             [](const auto &entry) {
                                 return entry.first;
                             })
        ->second;
}

Duration percentile(std::vector<Duration> values, double quantile)
{
    if (values.empty()) {
        return Duration::zero();
    }
    const double rank = std::ceil(quantile * static_cast<double>(values.size()));
    const auto index = static_cast<std::ptrdiff_t>(std::max(rank, 1.0)) - 1;
    std::ranges::nth_element(values, values.begin() + index);
    return values[static_cast<std::size_t>(index)];
}

LoadRunReport::LoadRunReport(const LoadSettings &settings, const std::vector<Outcome> &outcomes)
    : m_settings(settings), m_outcomes(outcomes)
{
    for (const Outcome &outcome : outcomes) {
        ++m_counts[outcome.verdict];
    }
}

std::size_t LoadRunReport::count(Verdict verdict) const
{
    const auto entry = m_counts.find(verdict);
    return entry == m_counts.end() ? 0 : entry->second;
}

bool LoadRunReport::correct() const
{
    return count(Verdict::Lost) + count(Verdict::Wrong) + count(Verdict::Duplicate) + count(Verdict::Late) == 0;
}

void LoadRunReport::print(std::ostream &out) const
{
    std::map<std::string, std::vector<const Outcome *>> byClass;
    std::map<std::string, std::vector<const Outcome *>> byCustomer;
    std::map<int, std::size_t> byCode;
    int broken = 0;
    int failovers = 0;
    for (const Outcome &outcome : m_outcomes) {
        byClass[std::string(className(outcome))].push_back(&outcome);
        byCustomer[m_settings.customers[outcome.request.customer].name].push_back(&outcome);
        broken += outcome.brokenConnections;
        failovers += outcome.failovers;
        if (outcome.code != 0) {
            ++byCode[outcome.code];
        }
    }
    out << std::left << std::setw(22) << "group" << std::right;
    for (const char *title : {"requests", "answered", "ttft_p50", "ttft_p95", "ttft_p99", "gap_p50", "gap_p95"}) {
        out << std::setw(10) << title;
    }
    out << "  (ms)\n";
    for (const char *name : {"short", "medium", "long", "huge", "service"}) {
        if (const auto group = byClass.find(name); group != byClass.end()) {
            printGroup(out, std::string("class=") + name, group->second);
        }
    }
    for (const auto &[name, group] : byCustomer) {
        printGroup(out, "customer=" + name, group);
    }
    for (const auto &[name, group] : byCustomer) {
        out << "caller customer=" << name;
        for (const auto &[verdict, title] : VerdictNames) {
            const auto isVerdict = [verdict = verdict](const Outcome *outcome) {
                return outcome->verdict == verdict;
            };
            out << ' ' << title << '=' << std::ranges::count_if(group, isVerdict);
        }
        out << '\n';
    }
    printHeadOfLine(out);
    for (const auto &[code, number] : byCode) {
        out << "failure code=" << code << " name=" << codeName(code) << " count=" << number << '\n';
    }
    out << "total requests=" << m_outcomes.size() << " broken_connections=" << broken << " failovers=" << failovers;
    for (const auto &[verdict, name] : VerdictNames) {
        out << ' ' << name << '=' << count(verdict);
    }
    out << '\n';
}

void LoadRunReport::printGroup(std::ostream &out,
                               const std::string &label,
                               const std::vector<const Outcome *> &group) const
{
    const auto answered = std::ranges::count_if(group, [](const Outcome *outcome) {
        return outcome->verdict == Verdict::Answered;
    });
    const std::vector<Duration> first = firstTokens(group);
    std::vector<Duration> gaps;
    for (const Outcome *outcome : group) {
        gaps.insert(gaps.end(), outcome->gaps.begin(), outcome->gaps.end());
    }
    out << std::left << std::setw(22) << label << std::right << std::setw(10) << group.size() << std::setw(10)
        << answered << std::fixed << std::setprecision(1);
    for (const double quantile : {0.5, 0.95, 0.99}) {
        out << std::setw(10) << toMilliseconds(percentile(first, quantile));
    }
    for (const double quantile : {0.5, 0.95}) {
        out << std::setw(10) << toMilliseconds(percentile(gaps, quantile));
    }
    out << '\n';
}

void LoadRunReport::printHeadOfLine(std::ostream &out) const
{
    std::vector<const Outcome *> alone;
    std::vector<const Outcome *> beside;
    for (const Outcome &outcome : m_outcomes) {
        if (className(outcome) == "short") {
            (outcome.besideLong ? beside : alone).push_back(&outcome);
        }
    }
    out << std::fixed << std::setprecision(1) << "head_of_line short_alone=" << alone.size()
        << " ttft_p95_ms=" << toMilliseconds(percentile(firstTokens(alone), 0.95))
        << " short_beside_long=" << beside.size()
        << " ttft_p95_ms=" << toMilliseconds(percentile(firstTokens(beside), 0.95)) << '\n';
}

void LoadRunReport::writeCsv(std::ostream &out) const
{
    out << "number,start_ms,customer,class,prompt_tokens,max_tokens,tokens,deadline_ms,ttft_ms,end_ms,verdict,code,"
           "http_status,broken_connections,beside_long,target\n";
    for (const Outcome &outcome : m_outcomes) {
        const PlannedRequest &request = outcome.request;
        out << request.number << ',' << toMilliseconds(request.start) << ','
            << m_settings.customers[request.customer].name << ',' << className(outcome) << ','
            << request.promptTokens.value() << ',' << request.maxOutputTokens.value() << ',' << outcome.tokens << ','
            << toMilliseconds(request.deadline) << ','
            << (outcome.firstToken < Duration::zero() ? -1.0 : toMilliseconds(outcome.firstToken)) << ','
            << toMilliseconds(outcome.end) << ',' << toString(outcome.verdict) << ',' << outcome.code << ','
            << outcome.httpStatus << ',' << outcome.brokenConnections << ',' << outcome.besideLong << ','
            << m_settings.targets[outcome.target] << '\n';
    }
}

void LoadRunReport::writePlot(std::ostream &out) const
{
    // Decades of the axes: 10^3 to 10^6 tokens, 10^0 to 10^5 milliseconds.
    constexpr double Left = 70;
    constexpr double Bottom = 430;
    constexpr double DecadeWidth = 190;
    constexpr double DecadeHeight = 80;
    const auto x = [](double tokens) {
        return Left + (std::log10(std::max(tokens, 1.0)) - 3) * DecadeWidth;
    };
    const auto y = [](double ms) {
        return Bottom - std::log10(std::max(ms, 1.0)) * DecadeHeight;
    };
    out << R"(<svg xmlns="http://www.w3.org/2000/svg" width="680" height="480" font-family="sans-serif" font-size="12">)"
        << '\n'
        << R"(<rect width="680" height="480" fill="white"/>)" << '\n'
        << R"(<text x="340" y="20" text-anchor="middle">Time to first token by prompt length</text>)" << '\n';
    for (int decade = 0; decade <= 5; ++decade) {
        const double ms = std::pow(10.0, decade);
        out << "<line x1=\"" << Left << "\" x2=\"640\" y1=\"" << y(ms) << "\" y2=\"" << y(ms)
            << "\" stroke=\"#ddd\"/><text x=\"" << Left - 5 << "\" y=\"" << y(ms) + 4 << "\" text-anchor=\"end\">"
            << static_cast<int>(ms) << " ms</text>\n";
    }
    for (int decade = 3; decade <= 6; ++decade) {
        const double tokens = std::pow(10.0, decade);
        out << "<line y1=\"30\" y2=\"" << Bottom << "\" x1=\"" << x(tokens) << "\" x2=\"" << x(tokens)
            << "\" stroke=\"#ddd\"/><text y=\"" << Bottom + 18 << "\" x=\"" << x(tokens) << "\" text-anchor=\"middle\">"
            << static_cast<int>(tokens) << "</text>\n";
    }
    out << "<text x=\"340\" y=\"470\" text-anchor=\"middle\">prompt tokens</text>\n";
    for (const Outcome &outcome : m_outcomes) {
        if (!outcome.request.service && outcome.firstToken >= Duration::zero()) {
            out << "<circle r=\"2\" fill=\"" << (outcome.verdict == Verdict::Answered ? "#1f77b4" : "#d62728")
                << "\" fill-opacity=\"0.5\" cx=\"" << x(static_cast<double>(outcome.request.promptTokens.value()))
                << "\" cy=\"" << y(toMilliseconds(outcome.firstToken)) << "\"/>\n";
        }
    }
    out << "</svg>\n";
}

} // namespace ibismast::load
