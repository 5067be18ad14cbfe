#include <core/placement/routing_table.hpp>

namespace hawthornrelay::core::placement
{

namespace
{

std::vector<membership::member>
serving_members(const config::document& contents,
                const membership::member_list& list)
{
    auto members = list.active();
    std::erase_if(members,
                  [&](const membership::member& item)
                  {
                      return contents.zones_out.contains(item.zone) ||
                             contents.vms_out.contains(item.vm);
                  });
    return members;
}

} // namespace

void routing_table::rebuild(const config::document& contents,
                            const membership::member_list& list,
                            const base::node_id& excluded)
{
    this->members = serving_members(contents, list);
    std::erase_if(this->members,
                  [&](const membership::member& item)
                  {
                      return item.id == excluded;
                  });
    const member_index index(this->members);
    this->by_service.clear();
    for (const auto& [name, service] : contents.services)
    {
        const auto holders = holders_of(name, service, index);
        auto& routes = this->by_service[name];
        for (std::size_t i = 0; i < service.replicas.size(); ++i)
        {
            const auto& replica = service.replicas[i];
            routes.push_back(route{{name, static_cast<std::uint32_t>(i)},
                                   replica.address,
                                   replica.zone,
                                   holders[i],
                                   contents.accepts_work(replica),
                                   service.slots,
                                   service.connection_limit});
        }
    }
}

const std::vector<route>* routing_table::find(const std::string& service) const
{
    const auto it = this->by_service.find(service);
    return it == this->by_service.end() ? nullptr : &it->second;
}

const route* routing_table::find(const base::replica_id& id) const
{
    const auto* routes = this->find(id.service);
    if (routes == nullptr || id.index >= routes->size())
    {
        return nullptr;
    }
    return &(*routes)[id.index];
}

std::vector<base::node_id>
routing_table::home_nodes_of(const std::string& customer,
                             std::size_t count) const
{
    return ranked(customer, this->members, count);
}

} // namespace hawthornrelay::core::placement
