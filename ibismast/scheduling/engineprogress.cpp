#include "ibismast/scheduling/engineprogress.h"

#include <algorithm>
#include <cassert>

namespace ibismast
{

void EngineProgress::add(const AttemptId &attempt, PriorityClass priorityClass, Tokens tokens, int priority)
{
    assert(!m_sortKeys.contains(attempt));
    const SortKey sortKey {-priority, m_arrivals++};
    m_prompts.emplace(sortKey, Prompt {attempt, priorityClass, static_cast<double>(tokens.value())});
    m_sortKeys.emplace(attempt, sortKey);
}

void EngineProgress::setPriority(const AttemptId &attempt, int priority)
{
    const auto found = m_sortKeys.find(attempt);
    if (found == m_sortKeys.end()) {
        return;
    }
    auto node = m_prompts.extract(found->second);
    found->second.first = -priority;
    node.key() = found->second;
    m_prompts.insert(std::move(node));
}

double EngineProgress::remove(const AttemptId &attempt)
{
    const auto found = m_sortKeys.find(attempt);
    if (found == m_sortKeys.end()) {
        return 0.0;
    }
    const auto prompt = m_prompts.find(found->second);
    const double remaining = prompt->second.remaining;
    m_prompts.erase(prompt);
    m_sortKeys.erase(found);
    return remaining;
}

PerClass<double> EngineProgress::advance(TimePoint now, double rate)
{
    PerClass<double> prefilled {};
    double budget = std::max(0.0, toSeconds(now - m_lastAdvance)) * rate;
    m_lastAdvance = std::max(m_lastAdvance, now);
    for (auto &entry : m_prompts) {
        Prompt &prompt = entry.second;
        const double part = std::min(budget, prompt.remaining);
        prompt.remaining -= part;
        budget -= part;
        prefilled[classIndex(prompt.priorityClass)] += part;
        if (budget <= 0.0) {
            break;
        }
    }
    return prefilled;
}

double EngineProgress::remaining(const AttemptId &attempt) const
{
    const auto found = m_sortKeys.find(attempt);
    return found == m_sortKeys.end() ? 0.0 : m_prompts.at(found->second).remaining;
}

double EngineProgress::remaining(PriorityClass priorityClass) const
{
    double sum = 0.0;
    for (const auto &entry : m_prompts) {
        sum += entry.second.priorityClass == priorityClass ? entry.second.remaining : 0.0;
    }
    return sum;
}

double EngineProgress::remaining() const
{
    double sum = 0.0;
    for (const auto &entry : m_prompts) {
        sum += entry.second.remaining;
    }
    return sum;
}

std::size_t EngineProgress::count(PriorityClass priorityClass) const
{
    return static_cast<std::size_t>(std::ranges::count_if(m_prompts, [priorityClass](const auto &entry) {
        return entry.second.priorityClass == priorityClass;
    }));
}

bool EngineProgress::empty() const
{
    return m_prompts.empty();
}

} // namespace ibismast
