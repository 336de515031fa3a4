// Stand-in of a model server: event streams, crashes on a part of a prompt, comes back some seconds later.
#pragma once

#include "rig.hh"

namespace rig
{

/// Engine of one service. Its streams have `Events` events, the first `firstEventMs` after the request, the others
/// `gapMs` apart. A request whose prompt has the part `poison` crashes it when it begins to write the answer.
class Engine
{
public:
    std::string id;
    std::string ip = "127.0.0.1";
    std::string zone = "zone-a";
    std::string service = "ibis-readers";
    std::string poison;
    int port = 0;
    int events = 16;
    std::int64_t firstEventMs = 120;
    std::int64_t gapMs = 100;
    std::int64_t downMs = 3000;
    std::atomic<int> crashes {0};
    std::atomic<std::int64_t> lastCrashMs {-1};

    bool start()
    {
        port = freePort(ip);
        return comeUp();
    }
    /// Called at each heartbeat: writes the server's entry. A server that is down writes nothing; its entry is removed
    /// after three intervals of silence.
    void beat(Store &store, std::int64_t heartbeatMs)
    {
        if (m_up) {
            m_silentBeats = 0;
            store.put("servers/" + id,
                      "{\"backend\":\"" + service + "\",\"address\":\"" + ip + ":" + std::to_string(port)
                          + "\",\"zone\":\"" + zone + "\",\"version\":1,\"slots\":16,\"state\":\"ready\","
                          + "\"cold_remaining_ms\":0,\"seq\":" + std::to_string(++m_seq)
                          + ",\"born\":" + std::to_string(m_born) + "}");
        } else if (++m_silentBeats == 3) {
            store.remove("servers/" + id);
        }
        (void)heartbeatMs;
    }

private:
    bool comeUp()
    {
        m_born = 1700000000000 + nowMs();
        m_seq = 0;
        const int fd = listenOn(ip, port);
        if (fd < 0) {
            return false;
        }
        m_listening = fd;
        m_up = true;
        std::thread([this, fd] {
            for (;;) {
                const int connection = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (connection < 0) {
                    return;
                }
                const std::lock_guard lock(m_mutex);
                if (!m_up) {
                    ::close(connection);
                    return;
                }
                const int one = 1;
                ::setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
                m_connections.insert(connection);
                std::thread([this, connection] {
                    serve(connection);
                    const std::lock_guard inner(m_mutex);
                    m_connections.erase(connection);
                    ::close(connection);
                }).detach();
            }
        }).detach();
        return true;
    }
    /// Resets all connections and accepts no more, as when the process has ended.
    void crash(const std::string &attempt)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_up) {
                return;
            }
            m_up = false;
            ++crashes;
            lastCrashMs = nowMs();
            RECORD("%s crashes on %s with %zu connections", id.c_str(), attempt.c_str(), m_connections.size());
            const linger hard {1, 0};
            for (const int connection : m_connections) {
                ::setsockopt(connection, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
                // The thread of the connection closes it; this ends its waits.
                ::shutdown(connection, SHUT_RD);
            }
            ::shutdown(m_listening, SHUT_RDWR);
            ::close(m_listening);
        }
        std::thread([this] {
            sleepMs(downMs);
            for (int attempt = 0; attempt < 50 && !comeUp(); ++attempt) {
                sleepMs(50);
            }
            RECORD("%s is back", id.c_str());
        }).detach();
    }
    /// Pauses; false if the server has crashed meanwhile.
    bool pause(std::int64_t milliseconds, std::int64_t born)
    {
        for (const std::int64_t end = nowMs() + milliseconds; nowMs() < end;) {
            sleepMs(std::min<std::int64_t>(5, end - nowMs() + 1));
            if (!m_up || m_born != born) {
                return false;
            }
        }
        return m_up && m_born == born;
    }
    void serve(int fd)
    {
        const std::int64_t born = m_born;
        Reader reader(fd);
        for (;;) {
            bool ended = false;
            const Message request = reader.read(nowMs() + 120000, ended, false);
            if (!request.complete || !m_up || m_born != born) {
                return;
            }
            const std::string attempt = request.header("Ibismast-Attempt-Id");
            const std::string prefix = request.header("Ibismast-Prompt-Prefix");
            RECORD("%s gets %s, prompt %s", id.c_str(), attempt.c_str(), prefix.c_str());
            const std::string lastEvent = request.header("Last-Event-Id");
            if (!pause(firstEventMs, born)) {
                return;
            }
            const std::string head = "HTTP/1.1 200 OK\r\nIbismast-Attempt-Id: " + attempt
                + "\r\nIbismast-Response-Seal: seal-" + attempt
                + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
            if (!sendAll(fd, head)) {
                return;
            }
            if (!poison.empty() && prefix.find(poison + ":") != std::string::npos) {
                sleepMs(10);
                crash(attempt);
                return;
            }
            for (int event = lastEvent.empty() ? 1 : std::atoi(lastEvent.c_str()) + 1; event <= events; ++event) {
                const std::string text = "id: " + std::to_string(event) + "\ndata: piece\n\n";
                char size[16];
                std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
                if (!sendAll(fd, size + text + "\r\n") || !pause(gapMs, born)) {
                    return;
                }
            }
            if (!sendAll(fd, "0\r\n\r\n")) {
                return;
            }
        }
    }

    std::mutex m_mutex;
    std::set<int> m_connections;
    std::atomic<bool> m_up {false};
    std::atomic<std::int64_t> m_born {0};
    int m_listening = -1;
    std::int64_t m_seq = 0;
    int m_silentBeats = 0;
};

/// Route and service for `Engine`, to be added to `smallConfig`.
inline std::string engineRoute()
{
    return ",{\"name\":\"check\",\"host\":\"desk.example\",\"path_prefix\":\"/check/\",\"kind\":\"streaming\","
           "\"timeout_ms\":10000,\"slo_ms\":300,\"priority\":1,\"backend\":\"ibis-readers\",\"max_attempts\":2,"
           "\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":250}";
}
inline std::string engineService()
{
    return ",{\"name\":\"ibis-readers\",\"health_path\":\"/"
           "health\",\"max_conns\":424,\"protocol\":\"h1\",\"tls\":false,"
           "\"engine\":{\"slots\":16,\"kv_capacity_tokens\":315000,\"stride\":51,\"models\":[{\"name\":\"m\"}],"
           "\"step_ms\":0.85,\"per_seq_ms\":0.00425,\"context_per_k\":0.00285,\"read_per_s\":177000.0,"
           "\"pairs_per_m\":0.184,\"chunk\":2048,\"report_lag_ms\":200.0,\"usual\":{\"prompt\":11104,\"answer\":1622},"
           "\"hop_ms\":0.05}}";
}

} // namespace rig
