#pragma once

#include <QByteArray>

#include <functional>

namespace ibismast::load
{

/// Divides a stream of server-sent events into the data of each event.
class SseReader
{
public:
    /// Takes the next bytes and calls @p onEvent with the data of each event that is complete.
    void add(const QByteArray &bytes, const std::function<void(const QByteArray &data)> &onEvent);

private:
    QByteArray m_buffer;
};

} // namespace ibismast::load
