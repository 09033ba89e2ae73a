#include "base/hash.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace cicadagap {

namespace {

// The names "h0", "h1" and so on.
std::vector<std::string> hostNames(int count)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        names.push_back("h" + std::to_string(i));
    return names;
}

} // namespace

TEST(Rendezvous, TopIsPrefixOfOrder)
{
    EXPECT_TRUE(rc::check([] {
        const auto key = *rc::gen::arbitrary<std::string>();
        const auto count = *rc::gen::inRange<std::size_t>(0, 40);
        std::vector<std::string> order = rendezvousOrder(key, hostNames(30));
        order.resize(std::min<std::size_t>(count, order.size()));
        RC_ASSERT(rendezvousTop(key, hostNames(30), count) == order);
    }));
}

TEST(Rendezvous, RemovingACandidateKeepsTheOrderOfTheOthers)
{
    for (int i = 0; i < 200; ++i) {
        const std::string key = "t" + std::to_string(i);
        std::vector<std::string> order = rendezvousOrder(key, hostNames(20));
        std::vector<std::string> fewer = hostNames(20);
        std::erase(fewer, "h7");
        std::erase(order, "h7");
        EXPECT_EQ(rendezvousOrder(key, fewer), order);
    }
}

TEST(Signature, DependsOnKeyAndText)
{
    EXPECT_EQ(signature("k", "text"), signature("k", "text"));
    EXPECT_NE(signature("k", "text"), signature("l", "text"));
    EXPECT_NE(signature("k", "text"), signature("k", "texu"));
    EXPECT_EQ(signature("k", "text").size(), 32U);
    EXPECT_FALSE(equalConstantTime("a", "ab"));
    EXPECT_TRUE(equalConstantTime("ab", "ab"));
}

} // namespace cicadagap
