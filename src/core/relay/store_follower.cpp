#include <core/relay/store_follower.hpp>

#include <algorithm>
#include <utility>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// Longest wait of one watch. A connection that has gone silent is noticed
/// after this time and an answer's timeout.
constexpr std::chrono::milliseconds watch_wait{2500};

/// Pause after a watch saw changes, so that several come with one call.
constexpr std::chrono::milliseconds batch_pause{120};

/// Pause after a failed call.
constexpr std::chrono::milliseconds retry_pause{250};

/// Length of this node's lease, and how often it is renewed. Callers are told
/// of a lost node by the silence of its messages long before.
constexpr std::chrono::milliseconds node_lease{4000};
constexpr std::chrono::milliseconds renew_interval{1300};

/// Entries that lapsed in an outage are written again in this time after its
/// end, the time until it is noticed included.
constexpr std::chrono::milliseconds lapse_memory{2500};

/// A watch that answers this much later than asked met a slow or absent store.
constexpr std::chrono::milliseconds late_answer{400};

} // namespace

store_follower::store_follower(ports::runtime& runtime,
                               ports::metadata_store& store,
                               store_events events,
                               std::string own_key,
                               std::string own_value,
                               std::chrono::milliseconds shortest_lease)
    : runtime(runtime), store(store), events(std::move(events)),
      own_key(std::move(own_key)), own_value(std::move(own_value)),
      lease_time(std::max(node_lease, shortest_lease))
{
}

void store_follower::start()
{
    this->begin_listing();
    this->take_lease();
}

void store_follower::stop()
{
    this->is_stopped = true;
    if (this->lease != 0)
    {
        this->store.end_lease(this->lease,
                              [](const base::result<bool>&)
                              {
                                  // The lease lapses by itself otherwise.
                              });
    }
}

void store_follower::begin_listing()
{
    this->listed.clear();
    this->is_first_page = true;
    this->list({});
}

void store_follower::list(const std::string& after)
{
    if (this->is_stopped)
    {
        return;
    }
    this->store.list({},
                     after,
                     [this](const base::result<ports::store_page>& page)
                     {
                         this->on_page(page);
                     });
}

void store_follower::on_page(const base::result<ports::store_page>& page)
{
    if (!page)
    {
        this->on_failure(page.error());
        this->retry(&store_follower::begin_listing);
        return;
    }
    this->on_success();
    if (this->is_first_page)
    {
        // Changes during the listing are seen by the watch.
        this->revision = page->revision;
        this->is_first_page = false;
    }
    for (const auto& item : page->items)
    {
        this->listed.insert(item.key);
        this->events.on_item(item, false);
    }
    if (page->has_more && !page->items.empty())
    {
        this->list(page->items.back().key);
        return;
    }
    this->events.on_listing(this->listed, this->may_have_lapsed());
    this->events.on_listed();
    this->watch();
}

void store_follower::watch()
{
    if (this->is_stopped)
    {
        return;
    }
    this->store.watch({},
                      this->revision,
                      watch_wait,
                      [this, sent = this->runtime.now()](
                          const base::result<ports::store_page>& page)
                      {
                          this->on_changes(sent, page);
                      });
}

void store_follower::on_changes(time_point sent,
                                const base::result<ports::store_page>& page)
{
    if (!page)
    {
        const bool must_list =
            page.error().code == base::result_code::history_gone;
        if (must_list)
        {
            this->begin_listing();
            return;
        }
        this->on_failure(page.error());
        this->retry(&store_follower::watch);
        return;
    }
    const auto now = this->runtime.now();
    if (now - sent > watch_wait + late_answer)
    {
        this->had_trouble = true;
        this->last_trouble = now;
    }
    this->on_success();
    for (const auto& item : page->items)
    {
        this->events.on_item(item, this->may_have_lapsed());
    }
    this->revision = std::max(this->revision, page->revision);
    if (page->items.empty())
    {
        this->watch();
        return;
    }
    this->runtime.call_after(batch_pause,
                             [this]
                             {
                                 this->watch();
                             });
}

void store_follower::take_lease()
{
    if (this->is_stopped)
    {
        return;
    }
    this->store.create_lease(
        this->lease_time,
        [this](const base::result<ports::lease_id>& created)
        {
            if (!created)
            {
                this->on_failure(created.error());
                this->retry(&store_follower::take_lease);
                return;
            }
            this->on_success();
            this->lease = *created;
            this->write_entry();
        });
}

void store_follower::write_entry()
{
    if (this->is_stopped)
    {
        return;
    }
    this->store.put(this->own_key,
                    this->own_value,
                    this->lease,
                    [this](const base::result<std::uint64_t>& written)
                    {
                        if (written)
                        {
                            this->on_success();
                            this->runtime.call_after(renew_interval,
                                                     [this]
                                                     {
                                                         this->renew();
                                                     });
                            return;
                        }
                        this->on_failure(written.error());
                        // Writing twice does no harm: the value is the same.
                        this->retry(written.error().code ==
                                            base::result_code::no_such_item
                                        ? &store_follower::take_lease
                                        : &store_follower::write_entry);
                    });
}

void store_follower::renew()
{
    if (this->is_stopped)
    {
        return;
    }
    this->store.renew_lease(
        this->lease,
        [this](const base::result<bool>& renewed)
        {
            if (renewed)
            {
                this->on_success();
                this->runtime.call_after(renew_interval,
                                         [this]
                                         {
                                             this->renew();
                                         });
                return;
            }
            if (renewed.error().code == base::result_code::no_such_item)
            {
                this->take_lease();
                return;
            }
            this->on_failure(renewed.error());
            this->retry(&store_follower::renew);
        });
}

void store_follower::on_success()
{
    this->last_answer = this->runtime.now();
    if (!this->is_reachable)
    {
        this->is_reachable = true;
        this->last_trouble = this->last_answer;
        this->events.on_reach(true, {});
    }
}

void store_follower::on_failure(const base::error& error)
{
    this->had_trouble = true;
    this->last_trouble = this->runtime.now();
    if (this->is_reachable)
    {
        this->is_reachable = false;
        this->events.on_reach(false,
                              std::string(base::name_of(error.code)) + ": " +
                                  error.detail);
    }
}

void store_follower::retry(void (store_follower::*call)())
{
    this->runtime.call_after(retry_pause,
                             [this, call]
                             {
                                 (this->*call)();
                             });
}

bool store_follower::may_have_lapsed() const
{
    return this->had_trouble &&
           this->runtime.now() - this->last_trouble < lapse_memory;
}

} // namespace hawthornrelay::core::relay
