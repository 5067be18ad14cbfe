// Seeded fuzz tests of the parsers for callers' requests and replicas' answers.
// HAWTHORNRELAY_FUZZ_ROUNDS and HAWTHORNRELAY_FUZZ_SEED select a longer run.
#define BOOST_TEST_MODULE parser_fuzz
#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>

#include <adapters/http/request_parser.hpp>
#include <platform/caller_wire.hpp>
#include <platform/replica_wire.hpp>

using namespace hawthornrelay;
using adapters::http::request_parser;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

namespace
{

constexpr std::size_t body_limit = 512;
constexpr std::size_t header_limit = 1024;
constexpr std::size_t memory_limit = 8192;
constexpr std::size_t field_limit = 20;

const std::vector<std::string> requests{
    "GET /one/x?y=1 HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\n\r\n",
    "POST /one/x HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcde",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5;e=1\r\nabcde\r\n1ff\r\n" +
        std::string(511, 'x') + "\r\n0\r\nT: v\r\n\r\n",
    "PUT * HTTP/1.0\r\nX-Request-Id: a\r\nX-Deadline-Ms: 1e3\r\n"
    "Connection: close, x-a\r\nX-A:\r\nX-A: b\r\n\r\n"};

const std::vector<std::string> answers{
    "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.1 503 No\r\nX-Not-Executed: 1\r\nRetry-After: 1e9\r\n"
    "X-Replica-Load: 1,2,4\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nServer-Limit: 3\r\n\r\n"
    "2\r\nok\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\nServer-Leaving: 1\r\nX-Warmup-Ms: 5\r\n\r\nto the end"};

const std::string many_fields = "\r\na:\r\nb:\r\nc:\r\nd:\r\ne:\r\nf:\r\n"
                                "g:\r\nh:\r\ni:\r\nj:\r\nk:\r\nl:\r\n"
                                "m:\r\nn:\r\no:\r\np:\r\nq:\r\nr:\r\n"
                                "s:\r\nt:\r\nu";

const std::vector<std::string> tokens{"\r\n",
                                      "\r\n\r\n",
                                      ":",
                                      std::string(1, '\0'),
                                      "Content-Length: 99999999999999999999",
                                      "Transfer-Encoding: chunked\r\n",
                                      "ffffffffffffffff\r\n",
                                      "-1",
                                      "a: b\r\n",
                                      many_fields,
                                      std::string(700, 'z')};

unsigned long number_from(const char* name, unsigned long fallback)
{
    const auto* text = std::getenv(name);
    return text == nullptr ? fallback : std::stoul(text);
}

class generator
{
  public:
    generator() : engine(number_from("HAWTHORNRELAY_FUZZ_SEED", 20261206))
    {
    }

    std::size_t below(std::size_t limit)
    {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(
            this->engine);
    }

    /// Changes, removes, repeats and inserts parts of one of the texts.
    std::string mutate(const std::vector<std::string>& texts)
    {
        auto text = texts[this->below(texts.size())];
        for (auto changes = this->below(6); changes > 0; --changes)
        {
            const auto at = this->below(text.size() + 1);
            const auto size = this->below(40);
            switch (this->below(4))
            {
            case 0:
                text.erase(at, size);
                break;
            case 1:
                text.insert(at, text.substr(at / 2, size));
                break;
            case 2:
                text.insert(at, tokens[this->below(tokens.size())]);
                break;
            default:
                text.insert(at, 1, static_cast<char>(this->below(256)));
            }
        }
        return text;
    }

    /// Feeds a text in pieces, as reads deliver it; returns the last error.
    template <class Parser>
    beast::error_code
    feed(Parser& parser, std::string_view text, std::size_t max_piece)
    {
        beast::flat_buffer buffer;
        beast::error_code error;
        while (!text.empty() && !parser.is_done())
        {
            const auto size = std::min(text.size(), 1 + this->below(max_piece));
            buffer.commit(boost::asio::buffer_copy(
                buffer.prepare(size), boost::asio::buffer(text.data(), size)));
            text.remove_prefix(size);
            while (buffer.size() > 0 && !parser.is_done())
            {
                const auto used = parser.put(buffer.data(), error);
                buffer.consume(used);
                if (error || used == 0)
                {
                    break;
                }
            }
            if (error && error != bhttp::error::need_more)
            {
                return error;
            }
            error = {};
        }
        return error;
    }

  private:
    std::mt19937_64 engine;
};

void prepare(request_parser& parser)
{
    parser.eager(true);
    parser.body_limit(body_limit);
    parser.header_limit(header_limit);
    parser.limit_allocation(
        [](std::size_t total)
        {
            return total <= memory_limit;
        },
        field_limit);
}

std::size_t rounds()
{
    return number_from("HAWTHORNRELAY_FUZZ_ROUNDS", 40'000);
}

} // namespace

// Guards against: a request whose meaning depends on how it is split, or that
// exceeds a limit.
BOOST_AUTO_TEST_CASE(requests_keep_their_limits_however_they_are_split)
{
    generator random;
    std::size_t complete = 0;
    for (std::size_t round = 0; round < rounds(); ++round)
    {
        const auto text = random.mutate(requests);
        request_parser whole;
        request_parser split;
        prepare(whole);
        prepare(split);
        random.feed(whole, text, text.size() + 1);
        random.feed(split, text, 1 + random.below(50));
        for (const auto* parser : {&whole, &split})
        {
            const auto& parsed = parser->parsed();
            BOOST_REQUIRE(parsed.body.size() <= body_limit);
            BOOST_REQUIRE(parsed.fields.size() <= field_limit);
            BOOST_REQUIRE(parser->allocated() <= memory_limit);
            BOOST_REQUIRE(parser->allocated() >= parsed.body.size());
        }
        if (!whole.is_done() || !split.is_done())
        {
            continue;
        }
        ++complete;
        BOOST_REQUIRE(whole.parsed().method == split.parsed().method);
        BOOST_REQUIRE(whole.parsed().target == split.parsed().target);
        BOOST_REQUIRE(whole.parsed().fields == split.parsed().fields);
        BOOST_REQUIRE(whole.parsed().body == split.parsed().body);
        const auto request = platform::read_caller_request(whole.release());
        BOOST_REQUIRE((!request || !request->message->id.empty()));
    }
    BOOST_TEST(complete > rounds() / 20);
}

// Guards against: an answer that ends the process, or a value out of range that
// reaches the decisions.
BOOST_AUTO_TEST_CASE(answers_of_replicas_are_read_or_refused)
{
    generator random;
    std::size_t complete = 0;
    for (std::size_t round = 0; round < rounds(); ++round)
    {
        const auto text = random.mutate(answers);
        bhttp::response_parser<bhttp::string_body> parser;
        parser.eager(true);
        parser.body_limit(body_limit);
        auto error = random.feed(parser, text, 1 + random.below(50));
        if (!error && parser.is_header_done() && !parser.is_done())
        {
            parser.put_eof(error);
        }
        if (error || !parser.is_done())
        {
            continue;
        }
        ++complete;
        const auto outcome = platform::read_replica_answer(parser.release());
        BOOST_REQUIRE(outcome.answer.body.size() <= body_limit);
        BOOST_REQUIRE(outcome.rate_limit.value_or(0) >= 0);
        BOOST_REQUIRE(!outcome.load || outcome.load->utilization() >= 0);
        BOOST_REQUIRE((outcome.back_off.value_or(core::base::duration(0)) <=
                       std::chrono::minutes(10)));
    }
    BOOST_TEST(complete > rounds() / 20);
}
