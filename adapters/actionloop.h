#pragma once

#include <deque>
#include <functional>
#include <utility>
#include <vector>

namespace ibismast
{

/// Feeds inputs to a state machine and carries out its actions in order. An input that arises while actions are
/// carried out waits until they are done, since the state machines are not re-entrant.
template<typename Action> class ActionLoop
{
public:
    using Actions = std::vector<Action>;
    using Input = std::function<void(Actions &out)>;

    /// @p execute carries out one action.
    explicit ActionLoop(std::function<void(Action &action)> execute) : m_execute(std::move(execute)) { }

    /// Calls @p input with the list to which the state machine appends, at once if no actions are being carried out.
    template<typename Function> void feed(Function &&input)
    {
        if (m_running) {
            m_waiting.emplace_back(std::forward<Function>(input));
            return;
        }
        m_running = true;
        run(input);
        while (!m_waiting.empty()) {
            const Input next = std::move(m_waiting.front());
            m_waiting.pop_front();
            run(next);
        }
        m_running = false;
    }

private:
    template<typename Function> void run(Function &input)
    {
        Actions actions;
        input(actions);
        for (Action &action : actions) {
            m_execute(action);
        }
    }

    std::function<void(Action &action)> m_execute;
    std::deque<Input> m_waiting;
    bool m_running = false;
};

} // namespace ibismast
