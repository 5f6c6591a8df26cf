#include "fault_matrix.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <set>
#include <string>

using namespace medlarrack::faults;

namespace {

const std::filesystem::path sources = MEDLARRACK_SOURCE_FOLDER;

std::string textOf(const std::filesystem::path &path)
{
    std::ifstream file(path);
    BOOST_REQUIRE_MESSAGE(file, path.string() + " wasn't opened");
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Names of the test cases of a module, or of a folder of tests.
std::set<std::string> testCasesOf(const std::string &folder)
{
    static const std::regex declaration(
        R"(BOOST_(?:(?:AUTO|DATA|FIXTURE)_TEST_CASE\(|DATA_TEST_CASE_F\(\s*\w+\s*,)\s*([a-z0-9_]+))");
    const std::filesystem::path ownTests = sources / folder / "tests";
    std::set<std::string> names;
    for (const auto &entry : std::filesystem::directory_iterator(exists(ownTests) ? ownTests : sources / folder)) {
        if (entry.path().extension() != ".cpp") {
            continue;
        }
        const std::string text = textOf(entry.path());
        for (std::sregex_iterator found(text.begin(), text.end(), declaration); found != std::sregex_iterator();
             ++found) {
            names.insert((*found)[1]);
        }
    }
    return names;
}

} // namespace

BOOST_AUTO_TEST_CASE(each_test_named_by_the_matrix_exists)
{
    std::map<std::string, std::set<std::string>, std::less<>> known;
    for (const promise &one : promises()) {
        BOOST_TEST(!one.proofs.empty(), one.text);
        for (const proof &shown : one.proofs) {
            const std::string folder(shown.folder);
            if (!known.contains(folder)) {
                known.emplace(folder, testCasesOf(folder));
            }
            BOOST_TEST(known.at(folder).contains(std::string(shown.testCase)),
                       "the tests of " << folder << " hold no case " << shown.testCase);
        }
    }
}

BOOST_AUTO_TEST_CASE(the_page_of_the_matrix_is_current)
{
    BOOST_TEST((textOf(sources / "docs" / "FAULTS.md") == toMarkdown(promises())),
               "docs/FAULTS.md differs from the matrix: run build/bin/medlarrack-faults >docs/FAULTS.md");
}
