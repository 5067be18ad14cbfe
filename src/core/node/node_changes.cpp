// Operators' changes: validation, the write, and the wait until it is in force.
#include <core/node/node.hpp>

#include <algorithm>
#include <utility>

namespace hawthornrelay::core::node
{

using base::fail;
using base::log_event;
using base::result_code;

namespace
{

/// Maximum time for a written change to reach a majority.
constexpr base::duration in_force_timeout = std::chrono::seconds(4);

/// How long to read an item back after the answer to its write was lost.
constexpr base::duration read_back_timeout = std::chrono::seconds(2);

constexpr base::duration read_back_interval = std::chrono::milliseconds(100);

} // namespace

void node::change(change_call call, change_handler done)
{
    const auto checked = config::check_value(call.item, call.value);
    if (!checked)
    {
        this->ports.log.write(log_event::change_refused,
                              {{"key", config::format_key(call.item)},
                               {"error", checked.error().detail}});
        done(tl::unexpected(checked.error()));
        return;
    }
    const auto key = config::format_key(call.item);
    const auto expected = call.expected;
    const auto value = call.value;
    this->ports.platform.compare_and_swap(
        key,
        expected,
        value,
        [this, call = std::move(call), done = std::move(done)](
            const base::result<base::revision>& written)
        {
            this->on_written(call, done, written);
        });
}

void node::on_written(const change_call& call,
                      const change_handler& done,
                      const base::result<base::revision>& written)
{
    this->control.read_now();
    if (written)
    {
        this->await_in_force(*written, call.wait, done);
        return;
    }
    if (written.error().code == result_code::platform_answer_lost)
    {
        this->read_back(
            call, done, this->ports.runtime.now() + read_back_timeout);
        return;
    }
    this->ports.log.write(
        log_event::change_refused,
        {{"key", config::format_key(call.item)},
         {"error", std::string(name_of(written.error().code))}});
    done(tl::unexpected(written.error()));
}

void node::read_back(const change_call& call,
                     const change_handler& done,
                     base::time_point deadline)
{
    const auto* stored =
        this->control.store().find(config::format_key(call.item));
    const bool is_newer = stored != nullptr && stored->modified > call.expected;
    if (is_newer && stored->value == call.value)
    {
        this->await_in_force(stored->modified, call.wait, done);
        return;
    }
    if (is_newer)
    {
        done(fail(result_code::revision_conflict,
                  "another change was written at revision " +
                      std::to_string(stored->modified)));
        return;
    }
    if (this->ports.runtime.now() >= deadline)
    {
        done(fail(result_code::platform_answer_lost,
                  "the change may or may not take effect; read the item "
                  "back before repeating the change"));
        return;
    }
    this->control.read_now();
    this->ports.runtime.call_after(read_back_interval,
                                   [this, call, done, deadline]
                                   {
                                       this->read_back(call, done, deadline);
                                   });
}

void node::await_in_force(base::revision revision,
                          base::duration wait,
                          change_handler done)
{
    const auto now = this->ports.runtime.now();
    this->changes.push_back(
        {revision, now + in_force_timeout, wait, now + wait, std::move(done)});
    this->check_changes();
}

void node::check_changes()
{
    const auto now = this->ports.runtime.now();
    std::vector<std::pair<change_handler, base::result<change_outcome>>>
        finished;
    std::erase_if(
        this->changes,
        [&](pending_change& item)
        {
            change_outcome outcome{
                item.revision, this->control.nodes_with(item.revision), {}};
            for (const auto& [id, row] : this->control.members().rows())
            {
                const bool is_in_force =
                    std::find(outcome.in_force.begin(),
                              outcome.in_force.end(),
                              id) != outcome.in_force.end();
                if (row.record.state != membership::member_state::removed &&
                    !is_in_force)
                {
                    outcome.missing.push_back(id);
                }
            }
            const bool accepted = this->control.majority_has(item.revision);
            const bool is_wait_over =
                outcome.missing.empty() || now >= item.wait_until;
            if (accepted && is_wait_over)
            {
                this->ports.log.write(
                    log_event::change_accepted,
                    {{"revision", std::to_string(item.revision)},
                     {"in_force", std::to_string(outcome.in_force.size())}});
                finished.emplace_back(std::move(item.done), std::move(outcome));
                return true;
            }
            if (now >= item.deadline && now >= item.wait_until)
            {
                finished.emplace_back(
                    std::move(item.done),
                    fail(result_code::not_in_force,
                         "written at revision " +
                             std::to_string(item.revision) +
                             ", but not confirmed by a majority of nodes"));
                return true;
            }
            return false;
        });
    for (auto& [done, outcome] : finished)
    {
        done(std::move(outcome));
    }
}

} // namespace hawthornrelay::core::node
