#include "ibismast/relay/commoncause.h"

#include <catch2/catch.hpp>

using namespace ibismast;

// Guards against a set of parts that sound prompts hold too although a narrower one explains the same crashes (review
// case 11, LOST), and against one that does not explain them all.
TEST_CASE("the narrowest set that explains the crashes is found", "[relay]")
{
    using Parts = std::vector<PromptPartId>;
    const PromptPartId a(0xa);
    const PromptPartId b(0xb);
    const PromptPartId c(0xc);
    const PromptPartId d(0xd);
    struct Row
    {
        std::string name;
        Parts parts;
        std::vector<CrashedPrompts> crashes;
        /// Part whose prompts were answered before.
        PromptPartId answered;
        Parts result;
    };
    const PromptPartId none;
    const Row row = GENERATE_COPY(values<Row>({
        {"sound prompts at each crash", {a}, {{{a}, {a, b}}, {{a, b}, {a}}, {{a, b}}}, none, {a, b}},
        {"any order", {b}, {{{a}, {b, a}}, {{a, b}}}, none, {a, b}},
        {"missing at one crash", {a}, {{{a, b}}, {{a}}, {{a, b}}}, none, {a}},
        {"several parts", {b}, {{{a, b, c}, {b}}, {{c, b, a}}}, none, {a, b, c}},
        {"not in the same prompts", {a}, {{{a, b}, {a, c}}, {{a, b}, {a, c}, {a, c}}}, none, {a, b}},
        {"one was answered", {a}, {{{a, b}, {a, c}}, {{a, b}, {a, c}, {a, c}}}, b, {a, c}},
        {"other prompts", {a}, {{{a}, {b, c}}, {{a, d}, {b, c}}}, none, {a}},
        {"not explained", {a, d}, {{{a, b}}, {{a, b}}}, none, {a, d}},
        {"no crash", {b, a}, {}, none, {a, b}},
    }));
    INFO(row.name);
    CHECK(mostSpecificCause(row.parts,
                            row.crashes,
                            [&row](PromptPartId part) {
                                return part == row.answered;
                            })
          == row.result);
}
