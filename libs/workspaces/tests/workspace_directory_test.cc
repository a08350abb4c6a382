#include "workspaces/workspace_directory.h"

#include <catch2/catch.hpp>
#include <string>

#include "workspaces/credentials.h"

namespace knapweedstile::workspaces {
namespace {

Workspace Named(const std::string& name, const std::vector<std::string>& keys) {
  Workspace workspace{.name = name};
  for (const std::string& key : keys) workspace.keys.push_back(DigestOf(key));
  return workspace;
}

std::string OwnerOf(const WorkspaceDirectory& directory,
                    const std::string& key) {
  const Workspace* owner = directory.FindByKey(DigestOf(key));
  return owner ? owner->name : "";
}

Credentials Read(const std::vector<std::string>& values) {
  http::HeaderList headers;
  for (const std::string& value : values) headers.Add("authorization", value);
  return ReadCredentials(headers);
}

}  // namespace

TEST_CASE("a key belongs to its workspace until a version removes it") {
  WorkspaceDirectory directory;
  CHECK_FALSE(directory.needs_key());
  directory.SetConfigured({{Named("kennel", {"k1", "k2"}), Named("cats", {})}});
  CHECK(directory.needs_key());
  CHECK(OwnerOf(directory, "k1") == "kennel");
  CHECK(OwnerOf(directory, "k3").empty());
  // The key moves to another workspace.
  directory.SetConfigured({{Named("kennel", {"k2"}), Named("cats", {"k1"})}});
  CHECK(OwnerOf(directory, "k1") == "cats");
  CHECK(OwnerOf(directory, "k2") == "kennel");
  directory.SetConfigured({{Named("kennel", {}), Named("cats", {})}});
  CHECK(OwnerOf(directory, "k2").empty());
  CHECK(directory.needs_key());
}

// Guards against a configuration that lacks the list of workspaces by mistake:
// callers whose keys were revoked must not get access.
TEST_CASE("no key is valid once a configured list of workspaces is missing") {
  WorkspaceDirectory directory;
  directory.SetConfigured({{Named("kennel", {"k1"})}});
  directory.SetConfigured(std::nullopt);
  CHECK(directory.needs_key());
  CHECK(OwnerOf(directory, "k1").empty());
}

TEST_CASE("a configured workspace and an object of the same name are merged") {
  WorkspaceDirectory directory;
  Workspace configured = Named("kennel", {"k1"});
  configured.rate = {.per_second = 5, .burst = 2};
  configured.priority = 1;
  directory.SetConfigured({{configured}});
  Workspace object = Named("kennel", {"k2"});
  object.labels["tier"] = "gold";
  object.models = {"m"};
  directory.SetObjects({object, Named("own", {"k3", "k1"})});
  const Workspace* kennel = directory.Find("kennel");
  REQUIRE(kennel != nullptr);
  CHECK(kennel->rate.per_second == 5);
  CHECK(kennel->priority == 1);
  CHECK(kennel->labels.at("tier") == "gold");
  CHECK(kennel->models.size() == 1);
  CHECK(OwnerOf(directory, "k2") == "kennel");
  CHECK(OwnerOf(directory, "k3") == "own");
  // The configuration has precedence if both assign the same key.
  CHECK(OwnerOf(directory, "k1") == "kennel");
}

TEST_CASE("only a single well-formed key is accepted") {
  CHECK(Read({"Bearer abc"}).key == DigestOf("abc"));
  CHECK(Read({"bearer  abc "}).key == DigestOf("abc"));
  CHECK_FALSE(Read({}).present);
  const std::string long_key(8192, 'k');
  for (const std::vector<std::string>& values :
       std::vector<std::vector<std::string>>{{""},
                                             {"abc"},
                                             {"Bearer "},
                                             {"Bearer"},
                                             {"Basic abc"},
                                             {"Bearer a b"},
                                             {"Bearer a\tb"},
                                             {"Bearer k\xc3\xa9y"},
                                             {"Bearer " + long_key},
                                             {"Bearer abc", "Bearer abc"},
                                             {"Bearer abc", ""}}) {
    CAPTURE(values.front());
    CHECK(Read(values).malformed());
  }
}

TEST_CASE("a digest is parsed from 64 lower-case hexadecimal digits") {
  const std::string hex =
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  CHECK(ParseKeyDigest(hex) == DigestOf("abc"));
  CHECK_FALSE(ParseKeyDigest(hex.substr(1)));
  CHECK_FALSE(ParseKeyDigest("BA" + hex.substr(2)));
}

}  // namespace knapweedstile::workspaces
