#include "json_lines.hpp"

#include <boost/test/unit_test.hpp>

using namespace medlarrack::ctl;

BOOST_AUTO_TEST_CASE(each_value_has_the_line_of_its_key_or_of_its_own_start)
{
    const json_lines lines(R"({
  "a": 1, // a comment
  /* two
     lines */ "b/c": {
    "d~e": [
      1,
      2
,
      {"f": null}
    ]
  },
  "g": "x"
})");
    BOOST_TEST(!lines.syntaxFault());
    BOOST_TEST(lines.lineOf("") == 1U);
    BOOST_TEST(lines.lineOf("/a") == 2U);
    BOOST_TEST(lines.lineOf("/b~1c") == 4U);
    BOOST_TEST(lines.lineOf("/b~1c/d~0e/0") == 6U);
    BOOST_TEST(lines.lineOf("/b~1c/d~0e/1") == 7U);
    BOOST_TEST(lines.lineOf("/b~1c/d~0e/2/f") == 9U);
    BOOST_TEST(lines.lineOf("/g") == 12U);
}

BOOST_AUTO_TEST_CASE(a_pointer_that_is_not_there_has_the_line_of_its_holder)
{
    const json_lines lines("{\n\"a\": {}\n}");
    BOOST_TEST(lines.lineOf("/a/missing") == 2U);
    BOOST_TEST(lines.lineOf("/missing") == 1U);
}

BOOST_AUTO_TEST_CASE(a_syntax_fault_has_line_and_column)
{
    const json_lines lines("{\n  \"a\": ,\n}");
    BOOST_REQUIRE(lines.syntaxFault());
    BOOST_TEST(lines.syntaxFault()->line == 2U);
    BOOST_TEST(lines.syntaxFault()->column == 8U);
    BOOST_TEST(json_lines("").syntaxFault().has_value());
    BOOST_TEST(json_lines("{} {}").syntaxFault().has_value());
}
