// Injects several random faults at once, from fixed seeds. The invariants hold
// during the faults, and service recovers when they end.
#define BOOST_TEST_MODULE chaos
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <support/chaos.hpp>

BOOST_DATA_TEST_CASE(invariants_hold,
                     boost::unit_test::data::make({1, 2, 3, 10, 11, 12}),
                     seed)
{
    hawthornrelay::tests::support::expect_recovery_after_chaos(
        static_cast<std::uint64_t>(seed));
}
