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
constexpr std::chrono::milliseconds batch_pause{250};

/// Pause after a failed call.
constexpr std::chrono::milliseconds retry_pause{250};

/// Entries that lapsed in an outage are written again in this time after its
/// end, the time until it is noticed included.
constexpr std::chrono::milliseconds lapse_memory{2500};

/// A watch that answers this much later than asked met a slow or absent store.
constexpr std::chrono::milliseconds late_answer{400};

} // namespace

store_follower::store_follower(ports::runtime& runtime,
                               store_mirror& mirror,
                               reach_handler on_reach)
    : runtime(runtime), mirror(mirror), on_reach(std::move(on_reach))
{
}

void store_follower::follow(ports::metadata_reader& from)
{
    if (this->source == &from)
    {
        return;
    }
    this->source = &from;
    this->reachable = true;
    this->last_answer = this->runtime.now();
    this->begin();
}

void store_follower::stop()
{
    this->source = nullptr;
    ++this->generation;
}

void store_follower::begin()
{
    ++this->generation;
    if (this->mirror.is_complete())
    {
        this->watch();
    }
    else
    {
        this->begin_listing();
    }
}

void store_follower::begin_listing()
{
    this->listed.clear();
    this->listed_at = 0;
    this->list({});
}

void store_follower::list(const std::string& after)
{
    this->source->list(
        after,
        [this, mine = this->generation](base::result<ports::store_page> page)
        {
            if (mine == this->generation)
            {
                this->on_page(std::move(page));
            }
        });
}

void store_follower::on_page(base::result<ports::store_page> page)
{
    if (!page)
    {
        this->on_failure(page.error());
        this->call_later(retry_pause, &store_follower::begin_listing);
        return;
    }
    this->on_success();
    if (this->listed_at == 0)
    {
        // Changes during the listing are seen by the watch.
        this->listed_at = page->revision;
    }
    std::move(page->items.begin(),
              page->items.end(),
              std::back_inserter(this->listed));
    if (page->has_more && !page->items.empty())
    {
        this->list(this->listed.back().key);
        return;
    }
    this->mirror.apply_listing(
        this->listed, this->listed_at, this->may_have_lapsed());
    this->listed.clear();
    this->listed.shrink_to_fit();
    this->watch();
}

void store_follower::watch()
{
    this->source->watch(
        this->mirror.revision(),
        watch_wait,
        [this, mine = this->generation, sent = this->runtime.now()](
            base::result<ports::store_page> page)
        {
            if (mine == this->generation)
            {
                this->on_changes(sent, std::move(page));
            }
        });
}

void store_follower::on_changes(time_point sent,
                                base::result<ports::store_page> page)
{
    if (!page)
    {
        if (page.error().code == base::result_code::history_gone)
        {
            this->begin_listing();
            return;
        }
        this->on_failure(page.error());
        this->call_later(retry_pause, &store_follower::watch);
        return;
    }
    if (this->runtime.now() - sent > watch_wait + late_answer)
    {
        this->note_trouble();
    }
    this->on_success();
    const bool has_changes = !page->items.empty();
    for (auto& item : page->items)
    {
        item.may_have_lapsed = item.is_removed && (item.may_have_lapsed ||
                                                   this->may_have_lapsed());
    }
    this->mirror.apply_changes(*page);
    if (has_changes)
    {
        this->call_later(batch_pause, &store_follower::watch);
    }
    else
    {
        this->watch();
    }
}

void store_follower::on_success()
{
    this->last_answer = this->runtime.now();
    if (!this->reachable)
    {
        this->reachable = true;
        this->last_trouble = this->last_answer;
        this->on_reach(true, {});
    }
}

void store_follower::on_failure(const base::error& error)
{
    this->note_trouble();
    if (this->reachable)
    {
        this->reachable = false;
        this->on_reach(false,
                       std::string(base::name_of(error.code)) + ": " +
                           error.detail);
    }
}

void store_follower::note_trouble()
{
    this->had_trouble = true;
    this->last_trouble = this->runtime.now();
}

void store_follower::call_later(duration delay, void (store_follower::*call)())
{
    this->runtime.call_after(delay,
                             [this, call, mine = this->generation]
                             {
                                 if (mine == this->generation)
                                 {
                                     (this->*call)();
                                 }
                             });
}

bool store_follower::may_have_lapsed() const
{
    return this->had_trouble &&
           this->runtime.now() - this->last_trouble < lapse_memory;
}

} // namespace hawthornrelay::core::relay
