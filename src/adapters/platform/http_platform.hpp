/// @file
/// @brief HTTP client of the platform's key-value service and VM list.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include <adapters/http/client.hpp>
#include <ports/platform.hpp>

namespace hawthornrelay::adapters::platform
{

/// @brief Calls `GET /watch`, `POST /compare-and-swap` and `GET /vms/gone`
///        with JSON bodies over persistent connections.
class http_platform final : public ports::platform
{
  public:
    /// @brief Creates a client; connections are opened when needed.
    /// @param io the context to run on; it must outlive this object
    /// @param address `ip:port` of the service
    http_platform(boost::asio::io_context& io, std::string address);

    void watch(core::base::revision since,
               core::base::duration wait,
               watch_handler handler) override;
    void compare_and_swap(const std::string& key,
                          core::base::revision expected,
                          const std::string& value,
                          write_handler handler) override;
    void gone_vms(vm_handler handler) override;

  private:
    void call(http::request message,
              core::base::duration timeout,
              http::connection::handler done);

    boost::asio::io_context& io;
    std::string address;
    std::vector<std::shared_ptr<http::connection>> idle;
};

} // namespace hawthornrelay::adapters::platform
