#pragma once

#include "standins/common/standinserver.h"

#include <map>

namespace ibismast
{

/// Settings of a `PlainServiceServer`.
struct PlainServiceSettings
{
    /// Time that a call takes before it has its effect.
    Duration workTime {};
};

/// Plain service whose calls must not be repeated, such as a registration or an order booking.
///
/// Every path takes every method. A call is identified by the field `reference` of its JSON body, else by the header
/// `Operation-Id`, else by its path. The answer is `{"reference": ..., "run": n, "number": n}` and echoes
/// `Operation-Id`; `run` is 1 unless the call was run before. `GET /control` reports `runs` per reference and
/// `double_runs`.
class PlainServiceServer : public StandinServer
{
public:
    explicit PlainServiceServer(const PlainServiceSettings &settings = {});

    /// Number of references that were run more than once.
    [[nodiscard]] qint64 doubleRuns() const;

protected:
    void handle(const StandinRequest &request, const StandinReplyPointer &reply) override;
    [[nodiscard]] QJsonObject status() const override;

private:
    void run(const QByteArray &reference, const StandinRequest &request, StandinReply &reply);

    PlainServiceSettings m_settings;
    std::map<QByteArray, int> m_runs;
    qint64 m_number = 0;
};

} // namespace ibismast
