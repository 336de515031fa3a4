#pragma once

#include "ibismast/core/result.h"

#include <QByteArray>
#include <QJsonObject>

#include <optional>
#include <vector>

namespace ibismast
{

/// What goes wrong with a request to a stand-in.
enum class FaultKind : std::uint8_t {
    /// The request is not carried out and never answered.
    Silent,
    /// The request is carried out; the answer comes late.
    Late,
    /// The request is carried out; the connection closes instead of the answer or in the middle of it.
    LoseAnswer,
    /// Two requests are carried out and get each other's answer.
    CrossAnswers,
};

/// Fault that applies to requests whose path begins with `pathPrefix`.
struct Fault
{
    FaultKind kind = FaultKind::Silent;
    QByteArray pathPrefix;
    /// Number of requests that it applies to; negative for all.
    int count = -1;
    /// Delay of `Late`.
    Duration delay = std::chrono::milliseconds(1000);
    /// Bytes of the answer, its head included, that `LoseAnswer` lets pass.
    qint64 afterBytes = 0;
};

/// Parses `{"fault": "silent"|"late"|"lose_answer"|"cross_answers", "path": ..., "count": n, "delay_ms": n,
/// "after_bytes": n}`; the error names the invalid field.
[[nodiscard]] Result<Fault> parseFault(const QJsonObject &object);

/// Faults that wait for requests.
class FaultPlan
{
public:
    /// Adds a fault behind those that wait already.
    void add(Fault fault);
    /// Removes all faults.
    void clear();
    /// Returns the first fault for @p path and counts it as used, or nothing.
    [[nodiscard]] std::optional<Fault> take(const QByteArray &path);

private:
    std::vector<Fault> m_faults;
};

} // namespace ibismast
