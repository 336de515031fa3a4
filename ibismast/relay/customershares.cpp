#include "ibismast/relay/customershares.h"

#include <algorithm>
#include <cmath>

namespace ibismast
{

namespace
{

/// Recent work below which a customer does not count as active.
constexpr double MinActiveSeconds = 0.001;

} // namespace

Result<Success> CustomerSharesSettings::validate() const
{
    const auto invalid = [](const std::string &message) {
        return Error {ResultCode::ConfigInvalid, message, std::nullopt};
    };
    if (window <= Duration::zero() || reportTimeout <= Duration::zero()) {
        return invalid("window and reportTimeout must be positive");
    }
    if (!(tolerance >= 0.0) || minWork < Duration::zero() || yieldStep < Duration::zero()) {
        return invalid("tolerance, minWork and yieldStep must not be negative");
    }
    if (maxReported == 0 || maxCustomers == 0) {
        return invalid("maxReported and maxCustomers must be positive");
    }
    return Success {};
}

CustomerShares::CustomerShares(const CustomerSharesSettings &settings) : m_settings(settings) { }

double CustomerShares::recent(const Average &average, TimePoint now) const
{
    const Duration elapsed = std::max(Duration::zero(), now - average.at);
    return average.seconds * std::exp(-toSeconds(elapsed) / toSeconds(m_settings.window));
}

bool CustomerShares::isActive(double seconds) const
{
    return seconds >= MinActiveSeconds;
}

void CustomerShares::add(const Key &key, Duration work, TimePoint now)
{
    if (!m_recent.contains(key) && m_recent.size() >= m_settings.maxCustomers) {
        return;
    }
    Average &average = m_recent[key];
    average = {recent(average, now) + toSeconds(work), now};
}

void CustomerShares::noteSent(const ServiceName &service, const CustomerId &customer, Duration work, TimePoint now)
{
    const Key key(service, customer);
    if (m_ownSent.contains(key) || m_ownSent.size() < m_settings.maxCustomers) {
        m_ownSent[key] += work;
    }
    add(key, work, now);
}

void CustomerShares::applyReport(const InstanceId &entry, const std::vector<CustomerWork> &report, TimePoint now)
{
    const bool known = m_reports.contains(entry);
    Reported &reported = m_reports[entry];
    reported.at = now;
    reported.waiting.clear();
    for (const CustomerWork &work : report) {
        const Key key(work.service, work.customer);
        const auto before = reported.sent.find(key);
        if (before != reported.sent.end() && work.sent > before->second) {
            add(key, work.sent - before->second, now);
        } else if (before == reported.sent.end() && known) {
            // The customer was not among those with the most work before, so most of its work is recent.
            add(key, work.sent, now);
        }
        if (before != reported.sent.end() || reported.sent.size() < m_settings.maxCustomers) {
            reported.sent[key] = before == reported.sent.end() ? work.sent : std::max(work.sent, before->second);
        }
        if (work.waiting > Duration::zero()) {
            reported.waiting.push_back(key);
        }
    }
}

void CustomerShares::dropEntry(const InstanceId &entry)
{
    m_reports.erase(entry);
}

void CustomerShares::expire(TimePoint now)
{
    std::erase_if(m_recent, [&](const auto &entry) {
        return !isActive(recent(entry.second, now));
    });
}

std::vector<CustomerWork> CustomerShares::ownReport(const std::vector<CustomerWork> &waiting) const
{
    std::map<Key, CustomerWork> all;
    for (const auto &[key, sent] : m_ownSent) {
        // Work without an average is not recent.
        if (m_recent.contains(key)) {
            all[key] = {key.first, key.second, sent, Duration::zero()};
        }
    }
    for (const CustomerWork &work : waiting) {
        const Key key(work.service, work.customer);
        const auto sent = m_ownSent.find(key);
        CustomerWork &entry = all[key];
        entry = {key.first,
                 key.second,
                 sent == m_ownSent.end() ? Duration::zero() : sent->second,
                 entry.waiting + work.waiting};
    }
    std::vector<CustomerWork> report;
    report.reserve(all.size());
    for (auto &[key, work] : all) {
        report.push_back(std::move(work));
    }
    std::ranges::stable_sort(report, std::greater<>(), [](const CustomerWork &work) {
        return work.sent + work.waiting;
    });
    report.resize(std::min(report.size(), m_settings.maxReported));
    return report;
}

double CustomerShares::useOfShare(const ServiceName &service, const CustomerId &customer, TimePoint now) const
{
    double total = 0.0;
    double own = 0.0;
    int active = 0;
    for (auto entry = m_recent.lower_bound({service, CustomerId()});
         entry != m_recent.end() && entry->first.first == service;
         ++entry) {
        const double seconds = recent(entry->second, now);
        total += seconds;
        active += isActive(seconds) ? 1 : 0;
        own = entry->first.second == customer ? seconds : own;
    }
    if (active < 2 || total < toSeconds(m_settings.minWork)) {
        return 0.0;
    }
    return own * active / total;
}

bool CustomerShares::isAboveShare(const ServiceName &service, const CustomerId &customer, TimePoint now) const
{
    return m_settings.enabled && useOfShare(service, customer, now) > 1.0 + m_settings.tolerance;
}

bool CustomerShares::othersWait(const ServiceName &service, const CustomerId &customer, TimePoint now) const
{
    return std::ranges::any_of(m_reports, [&](const auto &report) {
        const Reported &reported = report.second;
        return now - reported.at <= m_settings.reportTimeout
            && std::ranges::any_of(reported.waiting, [&](const Key &key) {
                   return key.first == service && key.second != customer;
               });
    });
}

} // namespace ibismast
