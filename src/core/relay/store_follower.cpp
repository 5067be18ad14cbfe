#include <core/relay/store_follower.hpp>

#include <algorithm>
#include <utility>

namespace hawthornrelay::core::relay
{

using base::duration;
using base::time_point;

namespace
{

/// Maximum wait of one watch. A dead connection is detected after this time
/// plus the answer timeout of 0.9 s, so that a change is known 3.4 s after its
/// connection fell silent; the platform allows 4 s.
constexpr std::chrono::milliseconds watch_wait{2500};

/// The same for a copy of another node if its age matters.
constexpr std::chrono::milliseconds copy_watch_wait{1000};

/// Wait of the first watch of a source and after a failure. Its answer shows
/// whether the store was restored meanwhile.
constexpr std::chrono::milliseconds first_watch_wait{1};

/// Delay after a watch with changes, so that one call returns several.
constexpr std::chrono::milliseconds batch_delay{250};

/// Delay after a failed call, unless only its connection failed.
constexpr std::chrono::milliseconds retry_delay{250};

/// Shortest time between two log lines about unreadable items.
constexpr std::chrono::seconds unreadable_log_interval{10};

/// A watch that exceeds its wait by this margin indicates a slow or unavailable
/// store.
constexpr std::chrono::milliseconds late_answer_margin{400};

} // namespace

store_follower::store_follower(ports::runtime& runtime,
                               ports::event_log& log,
                               store_mirror& mirror,
                               store_availability& availability,
                               reach_handler on_reach)
    : runtime(runtime), log(log), mirror(mirror), availability(availability),
      on_reach(std::move(on_reach))
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
    this->start_reading();
}

void store_follower::stop()
{
    this->source = nullptr;
    ++this->generation;
}

void store_follower::start_reading()
{
    ++this->generation;
    this->has_answered = false;
    if (this->mirror.is_complete())
    {
        this->watch();
    }
    else
    {
        this->start_listing();
    }
}

void store_follower::start_listing()
{
    this->listing = {};
    this->list({});
}

void store_follower::list(const std::string& after)
{
    this->source->list(after,
                       [this, call_generation = this->generation](
                           base::result<ports::store_page> page)
                       {
                           if (call_generation == this->generation)
                           {
                               this->on_page(std::move(page));
                           }
                       });
}

void store_follower::on_page(base::result<ports::store_page> page)
{
    if (!page)
    {
        this->on_failure(page.error(), &store_follower::start_listing);
        return;
    }
    this->on_success();
    if (this->listing.revision == 0)
    {
        this->listing.revision = page->revision;
        this->listing.era = page->era;
        this->listing_current_at = this->time_of(*page);
    }
    if (this->listing.era != page->era)
    {
        this->call_later(retry_delay, &store_follower::start_listing);
        return;
    }
    const auto next_after = page->next_after();
    std::move(page->items.begin(),
              page->items.end(),
              std::back_inserter(this->listing.items));
    this->listing.unreadable += page->unreadable;
    if (!page->has_more)
    {
        this->on_listed();
    }
    else if (next_after.empty() ||
             next_after == std::exchange(this->listing.last_key, next_after))
    {
        this->on_failure({base::result_code::platform_bad_answer,
                          "a page does not lead to the next one"},
                         &store_follower::start_listing);
    }
    else
    {
        this->list(next_after);
    }
}

void store_follower::on_listed()
{
    const auto listed = std::exchange(this->listing, {});
    const auto before = this->mirror.position();
    if (!this->mirror.apply_listing(listed, this->may_have_lapsed()))
    {
        this->on_failure({base::result_code::platform_unreachable,
                          "the source has not noticed a restore of the store"},
                         &store_follower::start_listing);
        return;
    }
    this->listed_at = this->runtime.now();
    this->set_current(this->listing_current_at);
    this->log_unreadable(listed.unreadable);
    const auto era_text = [](ports::store_era era)
    {
        return era ? std::to_string(*era) : std::string();
    };
    this->log.write(base::log_event::store_listed,
                    {{"revision", std::to_string(listed.revision)},
                     {"era", era_text(listed.era)},
                     {"items", std::to_string(listed.items.size())}});
    if (ports::is_earlier(before.era, listed.era))
    {
        this->log.write(base::log_event::store_restored,
                        {{"era", era_text(listed.era)},
                         {"revision", std::to_string(listed.revision)},
                         {"known_era", era_text(before.era)},
                         {"known_revision", std::to_string(before.revision)}});
    }
    this->watch();
}

void store_follower::list_again()
{
    if (this->runtime.now() - this->listed_at < retry_delay)
    {
        this->call_later(retry_delay, &store_follower::start_listing);
    }
    else
    {
        this->start_listing();
    }
}

void store_follower::watch()
{
    const auto wait = this->is_fresh_needed && this->source->is_copy()
                          ? copy_watch_wait
                          : watch_wait;
    this->source->watch(
        this->mirror.position(),
        this->has_answered ? wait : first_watch_wait,
        [this,
         call_generation = this->generation,
         sent_at = this->runtime.now()](base::result<ports::store_page> page)
        {
            if (call_generation == this->generation)
            {
                this->on_changes(sent_at, std::move(page));
            }
        });
}

void store_follower::on_changes(time_point sent_at,
                                base::result<ports::store_page> page)
{
    if (!page)
    {
        if (page.error().code == base::result_code::history_gone)
        {
            this->list_again();
            return;
        }
        this->on_failure(page.error(), &store_follower::watch);
        return;
    }
    const bool is_late =
        this->runtime.now() - sent_at > watch_wait + late_answer_margin;
    if (is_late && !this->source->is_copy())
    {
        this->availability.on_late_answer(this->runtime.now());
    }
    this->on_success();
    this->log_unreadable(page->unreadable);
    const bool has_changes = !page->items.empty();
    for (auto& item : page->items)
    {
        item.may_have_lapsed = item.is_removed && (item.may_have_lapsed ||
                                                   this->may_have_lapsed());
    }
    if (!this->mirror.apply_changes(*page))
    {
        this->list_again();
        return;
    }
    this->set_current(this->time_of(*page));
    if (has_changes)
    {
        this->call_later(batch_delay, &store_follower::watch);
    }
    else
    {
        this->watch();
    }
}

std::optional<time_point>
store_follower::time_of(const ports::store_page& page) const
{
    return page.copy_age ? std::optional(this->runtime.now() - *page.copy_age)
                         : std::nullopt;
}

void store_follower::set_current(std::optional<time_point> at)
{
    if (at)
    {
        this->mirror_current_at =
            std::max(this->mirror_current_at.value_or(*at), *at);
    }
}

void store_follower::on_success()
{
    this->last_answer = this->runtime.now();
    this->has_answered = true;
    if (!this->source->is_copy())
    {
        this->availability.on_answer(this->last_answer);
    }
    if (!this->reachable)
    {
        this->reachable = true;
        this->on_reach(true, {});
    }
}

void store_follower::on_failure(const base::error& error,
                                void (store_follower::*retry)())
{
    // The node that is read instead marks what may have lapsed.
    if (!this->source->is_copy())
    {
        this->availability.on_failure(error, this->runtime.now());
    }
    const bool was_answering = std::exchange(this->has_answered, false);
    const bool is_connection_fault =
        error.code == base::result_code::platform_connection_lost;
    this->call_later(was_answering && is_connection_fault ? duration(0)
                                                          : retry_delay,
                     retry);
    if (this->reachable)
    {
        this->reachable = false;
        this->on_reach(false,
                       std::string(base::name_of(error.code)) + ": " +
                           error.detail);
    }
}

void store_follower::log_unreadable(std::size_t items)
{
    const auto now = this->runtime.now();
    if (items > 0 && now >= this->next_unreadable_log)
    {
        this->next_unreadable_log = now + unreadable_log_interval;
        this->log.write(base::log_event::store_items_unreadable,
                        {{"items", std::to_string(items)}});
    }
}

void store_follower::call_later(duration delay, void (store_follower::*call)())
{
    this->runtime.call_after(delay,
                             [this, call, call_generation = this->generation]
                             {
                                 if (call_generation == this->generation)
                                 {
                                     (this->*call)();
                                 }
                             });
}

bool store_follower::may_have_lapsed() const
{
    return this->availability.may_have_lapsed(this->runtime.now());
}

} // namespace hawthornrelay::core::relay
