#include "standins/common/faultplan.h"

#include <algorithm>
#include <array>

namespace ibismast
{

namespace
{

constexpr std::array FaultNames {
    std::pair {"silent", FaultKind::Silent},
    std::pair {"late", FaultKind::Late},
    std::pair {"lose_answer", FaultKind::LoseAnswer},
    std::pair {"cross_answers", FaultKind::CrossAnswers},
};

} // namespace

Result<Fault> parseFault(const QJsonObject &object)
{
    const QString name = object["fault"].toString();
    const auto entry = std::ranges::find_if(FaultNames, [&name](const auto &pair) {
        return name == QLatin1String(pair.first);
    });
    if (entry == FaultNames.end()) {
        return Error {ResultCode::InvalidArgument, "fault: unknown name '" + name.toStdString() + "'", std::nullopt};
    }
    Fault fault;
    fault.kind = entry->second;
    fault.pathPrefix = object["path"].toString().toUtf8();
    fault.count = object["count"].toInt(-1);
    if (fault.count == 0) {
        return Error {ResultCode::InvalidArgument, "count: must not be 0", std::nullopt};
    }
    fault.delay = std::chrono::milliseconds(object["delay_ms"].toInteger(1000));
    if (fault.delay <= Duration::zero()) {
        return Error {ResultCode::InvalidArgument, "delay_ms: must be positive", std::nullopt};
    }
    fault.afterBytes = object["after_bytes"].toInteger(0);
    if (fault.afterBytes < 0) {
        return Error {ResultCode::InvalidArgument, "after_bytes: must not be negative", std::nullopt};
    }
    return fault;
}

void FaultPlan::add(Fault fault)
{
    m_faults.push_back(std::move(fault));
}

void FaultPlan::clear()
{
    m_faults.clear();
}

std::optional<Fault> FaultPlan::take(const QByteArray &path)
{
    const auto fault = std::ranges::find_if(m_faults, [&path](const Fault &candidate) {
        return path.startsWith(candidate.pathPrefix);
    });
    if (fault == m_faults.end()) {
        return std::nullopt;
    }
    Fault taken = *fault;
    if (fault->count > 0 && --fault->count == 0) {
        m_faults.erase(fault);
    }
    return taken;
}

} // namespace ibismast
