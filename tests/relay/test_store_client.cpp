// Tests of the client of the users' key-value store, against a stand-in.
#define BOOST_TEST_MODULE store_client
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include <platform/store_client.hpp>
#include <support/platform_store.hpp>

using namespace hawthornrelay;
using namespace std::chrono_literals;
using core::base::result;
using core::base::result_code;
using ports::store_page;
using tests::support::platform_store;

namespace
{

namespace json = boost::json;

/// A store and a client that waits for each answer.
struct store_reader
{
    result<store_page> list(const std::string& after)
    {
        return this->wait_for(
            [&](const ports::store_handler<store_page>& done)
            {
                this->client.list(after, done);
            });
    }

    result<store_page> watch(std::uint64_t after)
    {
        return this->wait_for(
            [&](const ports::store_handler<store_page>& done)
            {
                this->client.watch({after}, 50ms, done);
            });
    }

    /// The keys of all pages, or of the first ones if a page cannot be read or
    /// there are more pages than items.
    std::vector<std::string> list_all(std::size_t max_pages)
    {
        std::vector<std::string> keys;
        std::string after;
        bool has_more = true;
        for (std::size_t pages = 0; has_more && pages < max_pages; ++pages)
        {
            const auto page = this->list(after);
            has_more = page && page->has_more;
            after = page ? page->next_after() : "";
            for (std::size_t i = 0; page && i < page->items.size(); ++i)
            {
                keys.push_back(page->items[i].key);
            }
        }
        return keys;
    }

    boost::asio::io_context io;
    platform_store store{io};
    platform::store_client client{
        io, "127.0.0.1:" + std::to_string(store.port()), [] {}};

  private:
    template <typename Call>
    result<store_page> wait_for(Call call)
    {
        result<store_page> outcome =
            core::base::fail(core::base::result_code::deadline_expired, "");
        bool is_done = false;
        call(
            [&](result<store_page> page)
            {
                outcome = std::move(page);
                is_done = true;
            });
        const auto until = std::chrono::steady_clock::now() + 2s;
        while (!is_done && std::chrono::steady_clock::now() < until)
        {
            this->io.run_one_for(10ms);
        }
        return outcome;
    }
};

/// An item that is written under a key and returned as `returned`, and whether
/// its key and revision can be read from that.
struct odd_item
{
    json::value returned;
    bool is_identified;
};

std::vector<odd_item> odd_items(const std::string& key)
{
    return {{{{"key", key}, {"revision", 9}, {"value", "?"}}, true},
            {{{"key", key}, {"revision", 9}, {"value", 7}}, true},
            {{{"key", key}, {"revision", 9}, {"value", nullptr}}, true},
            {{{"key", key}, {"revision", "9"}, {"value", "e30="}}, false},
            {{{"key", key}, {"revision", -1}, {"value", "e30="}}, false},
            {{{"key", key}, {"revision", 0.5}, {"value", "e30="}}, false},
            {{{"key", key}, {"value", "e30="}}, false},
            {{{"key", 7}, {"revision", 9}, {"value", "e30="}}, false},
            {{{"revision", 9}, {"value", "e30="}}, false},
            {json::object(), false},
            {json::array{key}, false},
            {"odd", false},
            {nullptr, false}};
}

std::vector<std::string> keys_of(const store_page& page)
{
    std::vector<std::string> keys;
    for (const auto& item : page.items)
    {
        keys.push_back(item.key);
    }
    return keys;
}

} // namespace

BOOST_AUTO_TEST_SUITE(listings)

// Guards against: the key that ends a page is cut or changed on the way back to
// the store, so that the same page comes again and again.
BOOST_AUTO_TEST_CASE(any_byte_of_a_key_may_end_a_page)
{
    store_reader reader;
    std::vector<std::string> written;
    for (unsigned byte = 0; byte < 128; ++byte)
    {
        written.push_back("servers/" + std::string(1, static_cast<char>(byte)) +
                          "x");
    }
    written.insert(written.end(), {"servers/\u00e9", "servers/\U0001f600"});
    for (const auto& key : written)
    {
        reader.store.write(key, "{}");
    }
    for (const std::size_t page_size : {1U, 2U, 3U, 200U})
    {
        reader.store.page_size = page_size;
        const auto listed = reader.list_all(written.size());
        BOOST_TEST(listed == written, boost::test_tools::per_element());
    }
}

// Guards against: a key that is no UTF-8 makes its page unreadable.
BOOST_AUTO_TEST_CASE(a_key_may_contain_invalid_utf8)
{
    store_reader reader;
    std::vector<std::string> written;
    for (const auto* name : {"\x80", "a\xff", "b\xc3", "c\xed\xa0\x80", "d"})
    {
        written.push_back("servers/" + std::string(name));
    }
    std::sort(written.begin(), written.end());
    for (const auto& key : written)
    {
        reader.store.write(key, "{}");
    }
    for (const std::size_t page_size : {1U, 2U, 200U})
    {
        reader.store.page_size = page_size;
        const auto listed = reader.list_all(written.size());
        BOOST_TEST(listed == written, boost::test_tools::per_element());
    }
    const auto changes = reader.watch(1);
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST(changes->items.size() == written.size());
}

// Guards against: one item that cannot be read makes its page unreadable,
// wherever in the page it stands.
BOOST_AUTO_TEST_CASE(an_unreadable_item_hides_no_other)
{
    const std::vector<std::string> others{"servers/b", "servers/d"};
    for (const auto* position : {"servers/a", "servers/c", "servers/e"})
    {
        for (const auto& odd : odd_items(position))
        {
            store_reader reader;
            reader.store.write_as(position, odd.returned);
            auto expected = others;
            for (const auto& key : others)
            {
                reader.store.write(key, "{}");
            }
            if (odd.is_identified)
            {
                expected.emplace_back(position);
                std::sort(expected.begin(), expected.end());
            }
            const auto page = reader.list({});
            BOOST_TEST_REQUIRE(page.has_value(), odd.returned);
            BOOST_TEST(keys_of(*page) == expected,
                       boost::test_tools::per_element());
            BOOST_TEST(page->unreadable == (odd.is_identified ? 0U : 1U));
            for (const auto& item : page->items)
            {
                BOOST_TEST((item.value.empty() == (item.key == position)));
                BOOST_TEST(!item.is_removed);
            }
        }
    }
}

// Guards against: the pages after one that ends with such an item, or that
// consists of them, are not read.
BOOST_AUTO_TEST_CASE(an_unreadable_item_may_end_a_page)
{
    store_reader reader;
    const std::vector<std::string> others{"servers/a", "servers/z"};
    for (const auto& key : others)
    {
        reader.store.write(key, "{}");
    }
    for (const auto* key : {"servers/b&", "servers/c%", "servers/d"})
    {
        reader.store.write_as(key, json::object{{"key", key}});
    }
    for (const std::size_t page_size : {1U, 2U, 3U, 4U})
    {
        reader.store.page_size = page_size;
        BOOST_TEST(reader.list_all(5) == others,
                   boost::test_tools::per_element());
    }
}

BOOST_AUTO_TEST_CASE(a_key_without_a_lease_is_told_apart)
{
    store_reader reader;
    reader.store.write("a", "{}", 7);
    reader.store.write("b", "{}");
    reader.store.write_as("c", {{"key", "c"}, {"revision", 4}, {"value", ""}});
    for (const auto& page : {reader.list({}), reader.watch(1)})
    {
        BOOST_REQUIRE(page.has_value());
        BOOST_REQUIRE(page->items.size() == 3U);
        BOOST_TEST(!page->items[0].is_unleased);
        BOOST_TEST(page->items[1].is_unleased);
        BOOST_TEST(!page->items[2].is_unleased); // unknown
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(watches)

// Guards against: one change that cannot be read hides the others, or is
// requested again and again.
BOOST_AUTO_TEST_CASE(an_unreadable_change_hides_no_other)
{
    for (const auto& odd : odd_items("servers/b"))
    {
        store_reader reader;
        reader.store.write("servers/a", "{}");
        reader.store.write_as("servers/b", odd.returned);
        reader.store.write("servers/c", "{}");
        const auto page = reader.watch(1);
        BOOST_TEST_REQUIRE(page.has_value(), odd.returned);
        BOOST_TEST(page->items.size() == (odd.is_identified ? 3U : 2U));
        BOOST_TEST(page->items.back().key == "servers/c");
        BOOST_TEST(page->revision == 4U);
    }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(failures)

// Guards against: a connection that fell silent cannot be told from a store
// that is unavailable.
BOOST_AUTO_TEST_CASE(a_silent_connection_is_told_from_an_unavailable_store)
{
    store_reader reader;
    reader.store.is_silent = true;
    const auto silent = reader.list({});
    BOOST_TEST_REQUIRE(!silent.has_value());
    BOOST_TEST((silent.error().code == result_code::platform_connection_lost));
    reader.store.is_silent = false;
    reader.store.refusal_status = 503;
    const auto refused = reader.list({});
    BOOST_TEST_REQUIRE(!refused.has_value());
    BOOST_TEST((refused.error().code == result_code::platform_unreachable));
}

BOOST_AUTO_TEST_SUITE_END()
