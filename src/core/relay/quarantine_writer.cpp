#include <core/relay/quarantine_writer.hpp>

#include <charconv>
#include <utility>

#include <fmt/format.h>

#include <core/relay/crash_tracker.hpp>

namespace hawthornrelay::core::relay
{

namespace
{

constexpr int hexadecimal = 16;

/// Delay after a failed call.
constexpr std::chrono::milliseconds retry_delay{400};

/// Refusals that wait for the store; a node that finds more reports them to
/// other nodes only.
constexpr std::size_t max_pending = 64;

} // namespace

std::string quarantine_key(base::fingerprint refused)
{
    return fmt::format("{:016x}", refused);
}

base::result<base::fingerprint> read_quarantine_key(const std::string& text)
{
    base::fingerprint refused = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, refused, hexadecimal);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return base::fail(base::result_code::invalid_value,
                          "not a fingerprint: " + text);
    }
    return refused;
}

quarantine_writer::quarantine_writer(ports::runtime& runtime,
                                     ports::metadata_store& store,
                                     ports::event_log& log,
                                     std::string prefix)
    : runtime(runtime), store(store), log(log), prefix(std::move(prefix))
{
}

void quarantine_writer::write(base::fingerprint refused)
{
    if (this->pending.size() >= max_pending)
    {
        this->log.write(base::log_event::quarantine_written,
                        {{"fingerprint", std::to_string(refused)},
                         {"outcome", "too many"}});
        return;
    }
    this->pending.push_back({refused, this->runtime.now() + crash_retention});
    if (this->pending.size() == 1)
    {
        this->write_next();
    }
}

void quarantine_writer::write_next()
{
    this->store.create_lease(crash_retention,
                             [this](const base::result<ports::lease_id>& lease)
                             {
                                 if (lease)
                                 {
                                     this->put(*lease);
                                 }
                                 else
                                 {
                                     this->on_failure(lease.error());
                                 }
                             });
}

void quarantine_writer::put(ports::lease_id lease)
{
    this->store.put(this->prefix +
                        quarantine_key(this->pending.front().refused),
                    "{}",
                    lease,
                    [this](const base::result<std::uint64_t>& written)
                    {
                        if (written)
                        {
                            this->finish("ok");
                        }
                        else
                        {
                            this->on_failure(written.error());
                        }
                    });
}

void quarantine_writer::on_failure(const base::error& error)
{
    if (this->runtime.now() >= this->pending.front().give_up_at)
    {
        this->finish(std::string(base::name_of(error.code)) + ": " +
                     error.detail);
        return;
    }
    this->runtime.call_after(retry_delay,
                             [this]
                             {
                                 this->write_next();
                             });
}

void quarantine_writer::finish(const std::string& outcome)
{
    this->log.write(
        base::log_event::quarantine_written,
        {{"fingerprint", std::to_string(this->pending.front().refused)},
         {"outcome", outcome}});
    this->pending.pop_front();
    if (!this->pending.empty())
    {
        this->write_next();
    }
}

} // namespace hawthornrelay::core::relay
