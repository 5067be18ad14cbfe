#include <core/timeline/request_timeline.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>
#include <set>
#include <string_view>

namespace hawthornrelay::core::timeline
{

namespace
{

/// Lines logged longer before the end of a request do not explain it.
constexpr std::chrono::seconds max_background_age{30};

/// Crashes count against a request for this time.
constexpr std::chrono::minutes max_crash_age{2};

/// Events that concern the whole node.
constexpr std::array<std::string_view, 12> node_events{"relay_started",
                                                       "relay_stopping",
                                                       "configuration_in_force",
                                                       "zone_out",
                                                       "zone_back",
                                                       "store_lost",
                                                       "store_regained",
                                                       "source_lost",
                                                       "source_regained",
                                                       "entry_joined",
                                                       "cut_off",
                                                       "cut_healed"};

bool is_node_event(const log_line& line)
{
    return std::find(node_events.begin(), node_events.end(), line.event) !=
           node_events.end();
}

bool belongs_to(const log_line& line, const std::string& id)
{
    return line.field("request") == id;
}

const log_line* find_event(const std::vector<log_line>& lines,
                           std::string_view event)
{
    const auto found = std::find_if(lines.begin(),
                                    lines.end(),
                                    [event](const log_line& line)
                                    {
                                        return line.event == event;
                                    });
    return found == lines.end() ? nullptr : &*found;
}

/// Replicas named in the lines, including those in the stragglers field.
std::set<std::string> replicas_of(const std::vector<log_line>& steps)
{
    std::set<std::string> result;
    for (const auto& step : steps)
    {
        if (const auto replica = step.field("replica"); !replica.empty())
        {
            result.emplace(replica);
        }
        // A part is written as `service+,replica@ms:ms` or `service-,...`.
        std::string_view text = step.field("stragglers");
        while (!text.empty())
        {
            const auto end = std::min(text.find_first_of(",;"), text.size());
            const auto item = text.substr(0, end);
            const auto at = item.find('@');
            if (at != std::string_view::npos)
            {
                result.emplace(item.substr(0, at));
            }
            text.remove_prefix(std::min(end + 1, text.size()));
        }
    }
    return result;
}

/// Fingerprint of the request; empty if no line names it.
std::string_view fingerprint_of(const std::vector<log_line>& steps)
{
    for (const auto& step : steps)
    {
        if (const auto found = step.field("fingerprint"); !found.empty())
        {
            return found;
        }
    }
    return {};
}

/// Tells whether a line reports what an earlier attempt of the same request did
/// to a replica, on any node.
bool concerns_same_request(const log_line& line, std::string_view fingerprint)
{
    return !fingerprint.empty() && line.field("fingerprint") == fingerprint;
}

std::vector<log_line> background_of(const std::vector<log_line>& lines,
                                    const std::vector<log_line>& steps)
{
    const auto replicas = replicas_of(steps);
    const auto fingerprint = fingerprint_of(steps);
    const auto id = steps.back().field("request");
    const auto end = steps.back().time;
    std::map<std::string, log_line> latest_lines;
    for (const auto& line : lines)
    {
        const auto replica = std::string(line.field("replica"));
        const bool is_earlier_attempt =
            line.field("request") != id && line.time <= end &&
            end - line.time <= max_crash_age &&
            concerns_same_request(line, fingerprint);
        const bool is_relevant = line.node == steps.back().node &&
                                 line.time <= end &&
                                 end - line.time <= max_background_age &&
                                 line.field("request").empty();
        const bool explains =
            is_earlier_attempt || (is_relevant && (is_node_event(line) ||
                                                   replicas.contains(replica)));
        if (!explains)
        {
            continue;
        }
        auto& latest = latest_lines[line.event + " " + replica];
        if (latest.event.empty() || latest.time <= line.time)
        {
            latest = line;
        }
    }
    std::vector<log_line> result;
    result.reserve(latest_lines.size());
    for (const auto& [key, line] : latest_lines)
    {
        result.push_back(line);
    }
    std::stable_sort(result.begin(),
                     result.end(),
                     [](const log_line& left, const log_line& right)
                     {
                         return left.time < right.time;
                     });
    return result;
}

/// Services of the unanswered parts, separated by commas.
std::string unanswered_parts(std::string_view stragglers)
{
    std::string result;
    while (!stragglers.empty())
    {
        const auto end = std::min(stragglers.find(';'), stragglers.size());
        const auto part = stragglers.substr(0, end);
        const auto name = part.substr(0, part.find(','));
        if (name.ends_with('-'))
        {
            result += result.empty() ? "" : ", ";
            result += name.substr(0, name.size() - 1);
        }
        stragglers.remove_prefix(std::min(end + 1, stragglers.size()));
    }
    return result;
}

std::string cause_of(const std::vector<log_line>& steps)
{
    const auto* answer = find_event(steps, "request_answered");
    if (answer == nullptr)
    {
        return find_event(steps, "caller_gone") != nullptr
                   ? "the caller disconnected before the answer"
                   : "no answer is logged: the process ended, or lines were "
                     "dropped";
    }
    const auto code = answer->field("code");
    const auto unanswered = unanswered_parts(answer->field("stragglers"));
    if (const auto* withheld = find_event(steps, "send_withheld");
        withheld != nullptr && code != "ok")
    {
        return "service " + std::string(withheld->field("service")) +
               " needed another send, but this node had exhausted its part "
               "of the bound on extra sends";
    }
    const auto* failed = find_event(steps, "send_failed");
    const bool is_single_attempt =
        failed != nullptr && find_event(steps, "sent_again") == nullptr &&
        answer->field("parts") == "1" && code != "ok";
    if (is_single_attempt)
    {
        return "replica " + std::string(failed->field("replica")) +
               " may have run the request, but its answer was lost (" +
               std::string(failed->field("reason")) +
               "); it was not sent again";
    }
    if (code == "request_quarantined")
    {
        return "replicas crashed while they ran the request, and it was "
               "never answered";
    }
    if (code == "node_not_ready")
    {
        return "the node had no configuration yet";
    }
    if (code == "no_replica" && answer->field("sends") == "0")
    {
        const auto detail = answer->field("detail");
        return "no replica could be used: they are draining, cold, out of "
               "service or not responding" +
               (detail.empty() ? "" : " (" + std::string(detail) + ")");
    }
    if (!unanswered.empty())
    {
        return "no answer from " + unanswered;
    }
    return code == "ok" ? "none: it was answered"
                        : "see the steps: " + std::string(code);
}

std::string format_line(const log_line& line,
                        const std::string& id,
                        std::chrono::sys_time<std::chrono::microseconds> from)
{
    std::array<char, 32> offset{};
    std::snprintf(
        offset.data(),
        offset.size(),
        "%10.1f ms",
        std::chrono::duration<double, std::milli>(line.time - from).count());
    std::string text = offset.data();
    text += "  " + line.node + "  " + line.event;
    for (const auto& [name, value] : line.fields)
    {
        if (name == "request" && value == id)
        {
            continue;
        }
        const bool is_plain =
            !value.empty() && value.find(' ') == std::string::npos;
        text += " " + name + "=" + (is_plain ? value : '"' + value + '"');
    }
    return text + "\n";
}

} // namespace

request_timeline build_timeline(const std::vector<log_line>& lines,
                                const std::string& id)
{
    request_timeline timeline;
    std::copy_if(lines.begin(),
                 lines.end(),
                 std::back_inserter(timeline.steps),
                 [&id](const log_line& line)
                 {
                     return belongs_to(line, id);
                 });
    if (timeline.steps.empty())
    {
        timeline.cause = "no log line contains the request id";
        return timeline;
    }
    std::stable_sort(timeline.steps.begin(),
                     timeline.steps.end(),
                     [](const log_line& left, const log_line& right)
                     {
                         return left.time < right.time;
                     });
    timeline.background = background_of(lines, timeline.steps);
    timeline.cause = cause_of(timeline.steps);
    return timeline;
}

std::string format_timeline(const request_timeline& timeline,
                            const std::string& id)
{
    std::string text = "request " + id + "\n";
    if (!timeline.steps.empty())
    {
        const auto from = timeline.steps.front().time;
        text += "earlier events:\n";
        for (const auto& line : timeline.background)
        {
            text += format_line(line, id, from);
        }
        text += "the request:\n";
        for (const auto& line : timeline.steps)
        {
            text += format_line(line, id, from);
        }
    }
    return text + "cause: " + timeline.cause + "\n";
}

} // namespace hawthornrelay::core::timeline
