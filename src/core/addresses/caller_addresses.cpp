#include <core/addresses/caller_addresses.hpp>

#include <algorithm>

#include <core/limits/plan_slices.hpp>

namespace hawthornrelay::core::addresses
{

address_answer
addresses_for(const placement::routing_table& routes,
              const std::string& customer,
              const config::plan& plan,
              base::duration time_to_live,
              const std::function<bool(const base::node_id&)>& is_stopping)
{
    address_answer answer{{}, time_to_live};
    const auto wanted = limits::slice_count(plan) + spare_addresses;
    const auto names = routes.home_nodes_of(customer, routes.serving().size());
    for (const auto& name : names)
    {
        const auto member = std::find_if(routes.serving().begin(),
                                         routes.serving().end(),
                                         [&](const membership::member& item)
                                         {
                                             return item.id == name;
                                         });
        if (answer.addresses.size() < wanted && !is_stopping(name))
        {
            answer.addresses.push_back(member->caller_address);
        }
    }
    return answer;
}

} // namespace hawthornrelay::core::addresses
