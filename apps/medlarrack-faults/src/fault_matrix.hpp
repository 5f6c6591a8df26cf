#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarrack::faults {

/// A test that brings a fault about and shows that a promise holds.
struct proof
{
    std::string_view fault;
    /// Folder whose tests hold the case, from the top of the sources.
    std::string_view folder;
    std::string_view testCase;
};

/// What must hold under faults.
struct promise
{
    std::string_view text;
    std::vector<proof> proofs;
    /// Faults checked only over real processes; empty if there are none.
    std::string_view soaked;
    /// What isn't shown yet; empty if nothing is known to be missing.
    std::string_view missing;
};

/// All promises, in the order of docs/FAULTS.md.
[[nodiscard]] std::span<const promise> promises();

/// The matrix as a page of Markdown.
[[nodiscard]] std::string toMarkdown(std::span<const promise> matrix);

} // namespace medlarrack::faults
