#include <core/relay/record_merge.hpp>

#include <algorithm>
#include <functional>

namespace hawthornrelay::core::relay
{

std::string top_records(const std::vector<std::string_view>& parts,
                        std::size_t limit)
{
    std::vector<std::string_view> records;
    for (const auto part : parts)
    {
        for (std::size_t at = 0; at + record_bytes <= part.size();
             at += record_bytes)
        {
            records.push_back(part.substr(at, record_bytes));
        }
    }
    const auto kept = std::min(limit, records.size());
    const auto middle = records.begin() + static_cast<std::ptrdiff_t>(kept);
    // char_traits<char> compares bytes as unsigned values.
    std::partial_sort(records.begin(), middle, records.end(), std::greater<>());
    std::string result;
    result.reserve(kept * record_bytes);
    for (auto it = records.begin(); it != middle; ++it)
    {
        result.append(*it);
    }
    return result;
}

} // namespace hawthornrelay::core::relay
