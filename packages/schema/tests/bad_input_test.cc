#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "gentianroute/schema/declarations.h"
#include "gentianroute/schema/settings.h"

#include <criterion/criterion.h>

namespace {

using gentianroute::Documents;
using gentianroute::ParseDeclarations;
using gentianroute::SchemaError;
using gentianroute::Settings;
namespace leaf = gentianroute::leaf;

using Parser = std::function<leaf::result<void>(const std::string&)>;

struct Row {
  std::string text;
  std::string message;  ///< empty: the text is valid
};

std::string MessageOf(const Parser& parser, const std::string& text) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(parser(text));
        return std::string();
      },
      [](const SchemaError& error) { return error.Text(); },
      [] { return std::string("another error"); });
}

leaf::result<void> ParseSettings(const std::string& text) {
  BOOST_LEAF_CHECK(Settings::Parse("f", text));
  return {};
}

leaf::result<void> ParseProfiles(const std::string& text) {
  BOOST_LEAF_AUTO(documents, ParseDeclarations("f", text));
  return gentianroute::CheckReferences("f", documents);
}

leaf::result<void> ParseProfilesWithOrigins(const std::string& text) {
  gentianroute::Origins origins;
  BOOST_LEAF_AUTO(documents, ParseDeclarations("f", text, origins));
  return gentianroute::CheckReferences("in force", documents, origins);
}

void Check(const Parser& parser, const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    const std::string message = MessageOf(parser, row.text);
    cr_expect_eq(message, row.message, "input: %s\n  got: %s\n want: %s",
                 row.text.c_str(), message.c_str(), row.message.c_str());
  }
}

/// Valid settings with `more` appended to the top-level object.
std::string SettingsWith(const std::string& more) {
  return R"({"name": "e", "dataCentre": "d", "region": "r",
    "callers": {"port": 1}, "operators": {"port": 2}, "peers": {"port": 3},
    "platform": {"port": 4})" +
         more + "}";
}

std::string ProfileWith(const std::string& stage,
                        const std::string& profile = "") {
  return R"({"pools": [{"name": "p"}], "profiles": [{"name": "a", "stages": [
    {"name": "s", "pool": "p"}, {"name": "t", "pool": "p")" +
         stage + "}]" + profile + "}]}";
}

std::string Digest(char digit) {
  constexpr std::size_t kDigits = 64;
  return std::string(kDigits, digit);
}

std::string KeyOf(char digit) {
  return R"({"subscriber": "s", "sha256": ")" + Digest(digit) + "\"}";
}

}  // namespace

Test(checked_settings, bad_field_is_refused_with_path_found_and_allowed) {
  Check(
      ParseSettings,
      {{SettingsWith(""), ""},
       {SettingsWith(R"(, "nam": 1)"),
        "f: nam: found an unknown field; allowed: one of: name dataCentre "
        "region callers operators peers platform organisations limits links "
        "seeds slo"},
       {SettingsWith(R"(, "limits": {"maxQueued": "many"})"),
        "f: limits.maxQueued: found \"many\"; allowed: an integer from 1 "
        "to 1000000"},
       {SettingsWith(R"(, "limits": {"maxQueued": 0})"),
        "f: limits.maxQueued: found 0; allowed: an integer from 1 to "
        "1000000"},
       {SettingsWith(R"(, "limits": {"maxQueued": 18446744073709551615})"),
        "f: limits.maxQueued: found 18446744073709551615; allowed: an integer "
        "from 1 to 1000000"},
       {SettingsWith(R"(, "limits": {"maxQueued": 1.5})"),
        "f: limits.maxQueued: found 1.5; allowed: an integer from 1 to "
        "1000000"},
       {SettingsWith(R"(, "limits": null)"),
        "f: limits: found null; allowed: an object"},
       {SettingsWith(R"(, "links": {})"),
        "f: links: found {}; allowed: an array"},
       {SettingsWith(
            R"(, "links": [{"dataCentre": "x", "oneWayMicros": 1,
                            "microsPerMegabyte": -1}])"),
        "f: links[0].microsPerMegabyte: found -1; allowed: an integer from 0 "
        "to 1000000000"},
       {SettingsWith(R"(, "seeds": [{"name": "x", "dataCentre": "y"}])"),
        "f: seeds[0].port: found nothing; allowed: a value, since the field "
        "is required"},
       {SettingsWith(R"(, "seeds": [{"name": "", "dataCentre": "y"}])"),
        "f: seeds[0].name: found an empty string; allowed: a non-empty string"},
       {SettingsWith(R"(, "seeds": [{"name": "a\u0000b"}])"),
        "f: seeds[0].name: found \"a\\u0000b\"; allowed: a string without NUL "
        "characters"},
       {SettingsWith(R"(, "slo": {"attainmentTarget": 1.01})"),
        "f: slo.attainmentTarget: found 1.01; allowed: a number from 0 to 1"},
       {SettingsWith(R"(, "platform": {"port": 4})"),
        "f: platform: found a duplicate key; allowed: unique keys within an "
        "object"},
       {SettingsWith(R"(, "seeds": [{}, {"name": "a", "name": "b"}])"),
        "f: seeds[1].name: found a duplicate key; allowed: unique keys within "
        "an object"},
       {"{}",
        "f: name: found nothing; allowed: a value, since the field is "
        "required"},
       {"[]", "f: found []; allowed: an object"}});
}

Test(checked_settings, bad_key_digest_is_refused) {
  Check(ParseSettings,
        {{SettingsWith(R"(, "organisations": [{"name": "o", "keys": [)" +
                       KeyOf('a') + "]}]"),
          ""},
         {SettingsWith(R"(, "organisations": [{"name": "o", "keys": [)" +
                       KeyOf('x') + "]}]"),
          "f: organisations[0].keys[0].sha256: found '" + Digest('x') +
              "'; allowed: 64 hexadecimal digits in lower case"},
         // The daemon computes digests in lower case, so this would never
         // match.
         {SettingsWith(R"(, "organisations": [{"name": "o", "keys": [)" +
                       KeyOf('A') + "]}]"),
          "f: organisations[0].keys[0].sha256: found '" + Digest('A') +
              "'; allowed: 64 hexadecimal digits in lower case"},
         {SettingsWith(R"(, "organisations": [{"name": "o", "keys": [)" +
                       KeyOf('a') + R"(]}, {"name": "q", "keys": [)" +
                       KeyOf('b') + "," + KeyOf('a') + "]}]"),
          "f: organisations[1].keys[1].sha256: found a duplicate digest; "
          "allowed: a digest that no other key has"},
         {SettingsWith(R"(, "organisations": [{"name": "o"}, {"name": "o"}])"),
          "f: organisations[1].name: found 'o' more than once; allowed: a "
          "unique name"}});
}

Test(checked_settings, certificate_file_without_key_file_is_refused) {
  std::string text = SettingsWith("");
  const std::string plain = R"("callers": {"port": 1})";
  text.replace(text.find(plain), plain.size(),
               R"("callers": {"port": 1, "certificateFile": "c"})");
  Check(ParseSettings, {{text,
                         "f: callers.keyFile: found nothing; allowed: a file "
                         "name, since certificateFile is set"}});
}

Test(checked_settings, text_too_large_or_nested_too_deep_is_refused) {
  const std::string deep = std::string(100, '[') + std::string(100, ']');
  const std::string path = [] {
    std::string indexes;
    for (int i = 0; i < 31; ++i) {
      indexes += "[0]";
    }
    return indexes;
  }();
  const std::string large(gentianroute::kMaxFileBytes + 1, ' ');
  Check(
      ParseSettings,
      {{SettingsWith(R"(, "seeds": )" + deep),
        "f: seeds" + path +
            ": found a value nested too deeply; allowed: at most 32 levels"},
       {large,
        "f: found a file that is too large; allowed: at most 4194304 bytes"}});
}

Test(checked_profiles, bad_field_is_refused_with_path_found_and_allowed) {
  Check(
      ParseProfilesWithOrigins,
      {{ProfileWith(""), ""},
       {ProfileWith(R"(, "pol": 1)"),
        "f: profiles[0].stages[1].pol: found an unknown field; allowed: one "
        "of: name pool streams repeatable deduplicatesByKey "
        "firstByteTimeoutMs maxAttempts hedgeAfterMs costPerCallMicros "
        "costPerUnitMicros expectedMs"},
       {ProfileWith("", R"(, "objective": "speed")"),
        "f: profiles[0].objective: found \"speed\"; allowed: one of: "
        "attainment cost"},
       {ProfileWith("", R"(, "objective": 1)"),
        "f: profiles[0].objective: found 1; allowed: one of: attainment cost"},
       {ProfileWith(R"(, "streams": 1)"),
        "f: profiles[0].stages[1].streams: found 1; allowed: true or false"},
       {R"({"profiles": [{"name": "a", "stages": []}]})",
        "f: profiles[0].stages: found an empty array; allowed: at least one "
        "element"},
       {R"({"pools": [{"name": "p"}, {"name": "p"}]})",
        "f: pools[1].name: found 'p' more than once; allowed: a unique name"},
       {R"({"profiles": [{"name": "a", "stages": [
            {"name": "s", "pool": "lm"}]}]})",
        "f: profiles[0].stages[0].pool: found 'lm'; allowed: the name of a "
        "declared pool"},
       {R"({"services": [{"name": "a", "profile": "b"}]})",
        "f: services[0].profile: found 'b'; allowed: the name of a declared "
        "profile"}});
}

Test(checked_profiles, document_without_origin_is_named_by_kind_and_name) {
  Check(ParseProfiles,
        {{R"({"services": [{"name": "a", "profile": "b"}]})",
          "f: service/a.profile: found 'b'; allowed: the name of a declared "
          "profile"}});
}

Test(checked_profiles, fields_that_contradict_each_other_are_refused) {
  Check(ParseProfiles,
        {{ProfileWith(R"(, "repeatable": false)"), ""},
         {ProfileWith(R"(, "repeatable": false, "maxAttempts": 1)"), ""},
         {ProfileWith(R"(, "repeatable": false, "maxAttempts": 3)"),
          "f: profiles[0].stages[1].maxAttempts: found 3; allowed: 1, unless "
          "repeatable or deduplicatesByKey is true"},
         {ProfileWith(R"(, "repeatable": false, "hedgeAfterMs": 20)"),
          "f: profiles[0].stages[1].hedgeAfterMs: found 20; allowed: 0, unless "
          "repeatable or deduplicatesByKey is true"},
         {ProfileWith(R"(, "repeatable": false, "deduplicatesByKey": true,
                        "maxAttempts": 3, "hedgeAfterMs": 20)"),
          ""},
         {ProfileWith("", R"(, "deadlineMs": 99)"),
          "f: profiles[0].deadlineMs: found 99; allowed: at least 100, the sum "
          "of the stages' expectedMs"},
         {ProfileWith("", R"(, "deadlineMs": 100)"), ""},
         {ProfileWith(R"(, "expectedMs": 5951)"),
          "f: profiles[0].deadlineMs: found 6000; allowed: at least 6001, the "
          "sum of the stages' expectedMs"},
         {R"({"pools": [{"name": "p"}], "profiles": [{"name": "a", "stages": [
            {"name": "s", "pool": "p"}, {"name": "s", "pool": "p"}]}]})",
          "f: profiles[0].stages[1].name: found 's' more than once; allowed: a "
          "unique name"}});
}

Test(checked_document, body_that_violates_its_schema_is_refused) {
  const auto check = [](const std::string& text) {
    return gentianroute::CheckDocument(
        {gentianroute::DocumentKind::kProfile, "a"}, text);
  };
  Check(check,
        {{R"({"name": "a", "stages": [{"name": "s", "pool": "p"}]})", ""},
         {R"({"name": "b", "stages": [{"name": "s", "pool": "p"}]})",
          "profile/a: name: found \"b\"; allowed: the name under which the "
          "document is submitted"},
         {R"({"name": "a", "stages": [{"name": "s", "pool": "p",
              "repeatable": false, "maxAttempts": 2}]})",
          "profile/a: stages[0].maxAttempts: found 2; allowed: 1, unless "
          "repeatable or deduplicatesByKey is true"}});
}

Test(checked_file, missing_file_is_refused) {
  const auto read = [](const std::string& path) -> leaf::result<void> {
    BOOST_LEAF_CHECK(gentianroute::ReadFile(path));
    return {};
  };
  Check(read, {{"no-such-file",
                "no-such-file: found a file that is missing, empty or "
                "unreadable; allowed: a readable JSON file"}});
}
