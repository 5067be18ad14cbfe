#include <core/idempotency/idempotency_table.hpp>

#include <utility>

#include <core/base/hash.hpp>

namespace hawthornrelay::core::idempotency
{

using base::result_code;

idempotency_table::idempotency_table(idempotency_limits limits,
                                     base::node_id self,
                                     base::incarnation incarnation,
                                     std::uint64_t secret)
    : limits(limits), self(std::move(self)), incarnation(incarnation),
      secret(secret)
{
}

request_key idempotency_table::issue(base::time_point now)
{
    request_key key{this->self,
                    this->incarnation,
                    this->next_number++,
                    now + this->limits.key_lifetime,
                    0};
    key.keyed_hash = this->keyed_hash_of(key);
    return key;
}

std::uint64_t idempotency_table::keyed_hash_of(const request_key& key) const
{
    auto without_hash = key;
    without_hash.keyed_hash = 0;
    return base::hash_of(format(without_hash), this->secret);
}

void idempotency_table::run_once(const request_key& key,
                                 base::fingerprint request,
                                 base::time_point now,
                                 const starter& start,
                                 handler done)
{
    if (key.node != this->self || key.incarnation != this->incarnation)
    {
        done({result_code::outcome_unknown, {}});
        return;
    }
    if (key.keyed_hash != this->keyed_hash_of(key))
    {
        done({result_code::key_malformed, {}});
        return;
    }
    const auto existing = this->records.find(key.number);
    if (existing != this->records.end())
    {
        auto& record = existing->second;
        if (record.request != request)
        {
            done({result_code::key_reused, {}});
        }
        else if (record.is_running)
        {
            record.waiting_handlers.push_back(std::move(done));
        }
        else
        {
            done(record.outcome);
        }
        return;
    }
    if (now >= key.expires + this->limits.grace)
    {
        done({result_code::outcome_unknown, {}});
        return;
    }
    if (now >= key.expires)
    {
        done({result_code::key_expired, {}});
        return;
    }
    if (this->records.size() >= this->limits.capacity)
    {
        done({result_code::overloaded, {}});
        return;
    }
    auto& record = this->records[key.number];
    record.request = request;
    record.expires = key.expires;
    record.waiting_handlers.push_back(std::move(done));
    ++this->running_count;
    start(
        [this, number = key.number](const keyed_outcome& outcome)
        {
            this->finish(number, outcome);
        });
}

void idempotency_table::finish(std::uint64_t number,
                               const keyed_outcome& outcome)
{
    const auto it = this->records.find(number);
    if (it == this->records.end() || !it->second.is_running)
    {
        return;
    }
    --this->running_count;
    const auto handlers = std::move(it->second.waiting_handlers);
    it->second.is_running = false;
    it->second.outcome = outcome;
    if (proves_not_run(outcome.code))
    {
        this->records.erase(it);
    }
    for (const auto& done : handlers)
    {
        done(outcome);
    }
}

void idempotency_table::expire(base::time_point now)
{
    std::erase_if(this->records,
                  [&](const auto& item)
                  {
                      return !item.second.is_running &&
                             now >= item.second.expires + this->limits.grace;
                  });
}

} // namespace hawthornrelay::core::idempotency
