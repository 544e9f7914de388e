// SPDX-License-Identifier: Apache-2.0
//
// What the pages name exists: each file, and each function with its file, of docs/architecture.md and
// docs/terms.md; each page that a link of a page leads to.
#include <gtest/gtest.h>

#include <regex>
#include <string>

#include "source_text.h"

namespace badgerbridge::docs {
namespace {

const std::filesystem::path kRoot = SOURCE_DIR;

constexpr std::size_t kMinReferences =
    40;  // of docs/architecture.md: fewer, and the pattern below has gone blind

/// A code span `path` or `path: Class::Function`.
struct Reference {
  std::string path;
  std::string function;  ///< Empty: the file alone.
};

std::vector<Reference> ReferencesOf(const std::string& page) {
  std::vector<Reference> references;
  const std::regex span(
      "`((?:src|include|tests|scripts|docs|bench|deploy|packaging|scenarios)/[^`\\s:<>*]*)"
      "(?::\\s([\\w:~]+))?`");
  for (std::sregex_iterator at(page.begin(), page.end(), span), end; at != end; ++at)
    references.push_back({(*at)[1], (*at)[2]});
  return references;
}

/// Whether the file has each part of `Class::Function` as a word, the last before a bracket.
bool Names(const std::string& text, const std::string& function) {
  const std::size_t colons = function.rfind("::");
  const std::string last = colons == std::string::npos ? function : function.substr(colons + 2);
  if (!std::regex_search(text, std::regex("\\b" + last + "\\("))) return false;
  if (colons == std::string::npos) return true;
  return std::regex_search(text, std::regex("\\b" + function.substr(0, colons) + "\\b"));
}

/// Pages that record earlier states of the tree.
bool IsRecord(const std::filesystem::path& page) {
  return page.filename() == "ROADMAP.md" || page.filename() == "CAPACITY.md";
}

bool ExistsAsPathOrModule(const std::filesystem::path& path) {
  // `src/agent/orders` means orders.h and orders.cpp.
  return std::filesystem::exists(path) || std::filesystem::exists(path.string() + ".h") ||
         std::filesystem::exists(path.string() + ".cpp");
}

void ExpectReferencesExist(const std::filesystem::path& page) {
  for (const Reference& reference : ReferencesOf(ReadFile(page))) {
    const std::filesystem::path path = kRoot / reference.path;
    EXPECT_TRUE(ExistsAsPathOrModule(path)) << page << " names " << reference.path;
    if (reference.function.empty() || !std::filesystem::is_regular_file(path)) continue;
    EXPECT_TRUE(Names(WithoutComments(ReadFile(path)), reference.function))
        << page << " names " << reference.path << ": " << reference.function;
  }
}

std::vector<std::filesystem::path> Pages() {
  std::vector<std::filesystem::path> pages{kRoot / "README.md"};
  for (const auto& entry : std::filesystem::recursive_directory_iterator(kRoot / "docs")) {
    if (entry.path().extension() == ".md") pages.push_back(entry.path());
  }
  return pages;
}

TEST(PageReferences, FilesAndFunctionsThatPagesNameExist) {
  EXPECT_GE(ReferencesOf(ReadFile(kRoot / "docs/architecture.md")).size(), kMinReferences);
  for (const std::filesystem::path& page : Pages()) {
    if (!IsRecord(page)) ExpectReferencesExist(page);
  }
}

TEST(PageReferences, LinksBetweenPagesLeadToFiles) {
  const std::regex link("\\]\\(([^)#:\\s]+)(?:#[^)]*)?\\)");
  for (const std::filesystem::path& page : Pages()) {
    const std::string text = ReadFile(page);
    for (std::sregex_iterator at(text.begin(), text.end(), link), end; at != end; ++at)
      EXPECT_TRUE(std::filesystem::exists(page.parent_path() / (*at)[1].str())) << page << ": " << (*at)[1];
  }
}

// Comments, messages and files that name a page by its path.
TEST(PageReferences, PagesThatSourcesNameExist) {
  const std::regex name("docs/[\\w/.-]+\\.md");
  std::vector<std::string> files;
  for (const char* folder : {"src", "include", "tests", "bench"}) {
    for (std::string& file : SourcesBelow(kRoot, folder)) files.push_back(std::move(file));
  }
  for (const char* folder : {"deploy", "scripts", "packaging", "scenarios"}) {
    for (const auto& entry : std::filesystem::directory_iterator(kRoot / folder)) {
      if (entry.is_regular_file()) files.push_back(std::filesystem::relative(entry.path(), kRoot).string());
    }
  }
  for (const std::string& file : files) {
    const std::string text = ReadFile(kRoot / file);
    for (std::sregex_iterator at(text.begin(), text.end(), name), end; at != end; ++at)
      EXPECT_TRUE(std::filesystem::exists(kRoot / at->str())) << file << ": " << at->str();
  }
}

TEST(PageReferences, AFunctionIsNamedOnlyIfItsFileHasItAndItsClass) {
  EXPECT_TRUE(Names("void Listener::Accept() {", "Listener::Accept"));
  EXPECT_FALSE(Names("void Listener::AcceptOne() {", "Listener::Accept"));
  EXPECT_FALSE(Names("void Accept() {", "Listener::Accept"));
}

}  // namespace
}  // namespace badgerbridge::docs
