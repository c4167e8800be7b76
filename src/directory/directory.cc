#include "directory/directory.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

namespace elderkeel::directory {
namespace {

constexpr size_t kMaxValueBytes = 256;
// An area where fewer than this share of the known proxies are usable is supplemented with proxies
// of the next wider area.
constexpr size_t kMinUsableNumerator = 2, kMinUsableDenominator = 3;

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// Decodes %-escapes of a parameter's value. False if an escape is malformed, or if the value is not
// a valid name: longer than kMaxValueBytes, or with a space or control character.
bool Unescape(std::string_view text, std::string* out) {
  for (size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%') {
      if (i + 2 >= text.size()) return false;
      int high = HexDigit(text[i + 1]), low = HexDigit(text[i + 2]);
      if (high < 0 || low < 0) return false;
      out->push_back(static_cast<char>(high * 16 + low));
      i += 2;
    } else {
      out->push_back(text[i]);
    }
  }
  return out->size() <= kMaxValueBytes &&
         std::all_of(out->begin(), out->end(),
                     [](unsigned char c) { return c > 0x20 && c != 0x7f; });
}

}  // namespace

base::Result<Resolution> Resolution::Parse(std::string_view query) {
  Resolution resolution;
  auto bad = [](const std::string& why) {
    return base::Failure(base::ErrorCode::kInvalidArgument, "resolution", "", why);
  };
  while (!query.empty()) {
    size_t end = query.find('&');
    std::string_view pair = query.substr(0, end);
    query = end == std::string_view::npos ? std::string_view() : query.substr(end + 1);
    size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return bad("query: parameter without '='");
    std::string_view key = pair.substr(0, equals);
    std::string* value = key == "label"    ? &resolution.label
                         : key == "region" ? &resolution.region
                         : key == "zone"   ? &resolution.zone
                                           : nullptr;
    if (!value) continue;  // newer clients may send parameters that this version doesn't know
    if (!value->empty()) return bad(std::string(key) + ": is given twice");
    if (!Unescape(pair.substr(equals + 1), value)) {
      return bad(std::string(key) +
                 ": malformed %-escape, space or control character, or more than 256 bytes");
    }
  }
  if (resolution.label.empty()) return bad("label: is missing");
  if (resolution.region.empty() && resolution.zone.empty())
    return bad("region, zone: one is required");
  return resolution;
}

// Most monitors of a region's nodes are in that region. When the whole region is lost, each of its
// proxies has a single monitor left, in another region, which detects the failure late. The failure
// of its controllers is detected within about a second, so the state of a region is derived from
// them. A region without controllers is never in the result. If no controller is alive anywhere,
// all regions that have controllers are in it, so that none of these is preferred to another.
std::set<std::string> Directory::UnreachableRegions() const {
  std::set<std::string> alive, unreachable;
  for (const auto& [id, node] : members_->nodes()) {
    if (node.program != membership::Program::kController || node.state == membership::State::kLeft)
      continue;
    const std::string& region = members_->RegionOf(node.zone);
    (node.state == membership::State::kAlive ? alive : unreachable).insert(region);
  }
  for (const std::string& region : alive) unreachable.erase(region);
  return unreachable;
}

Directory::Choice Directory::Choose(base::Millis now, const Resolution& resolution) {
  std::set<std::string> unreachable_regions = UnreachableRegions();
  // Areas around the client, nearest first: its zone, the rest of its region, all other regions.
  // The region is that of the zone, or the one in the query if the zone is not known. If no proxy
  // is in either, all are in the last area and count as equally near.
  std::string region = members_->RegionOf(resolution.zone);
  if (region.empty()) region = resolution.region;
  struct Area {
    std::vector<const membership::Node*> usable;     // alive and ready, in a reachable region
    std::vector<const membership::Node*> uncertain;  // alive or suspected, but not usable
    std::vector<const membership::Node*> dead;
    size_t known = 0;  // all of these
  } areas[3];
  for (const auto& [id, node] : members_->nodes()) {
    if (node.program != membership::Program::kProxy || node.client_port == 0) continue;
    if (node.state == membership::State::kLeft) continue;
    Area& area = areas[node.zone == resolution.zone              ? 0
                       : members_->RegionOf(node.zone) == region ? 1
                                                                 : 2];
    ++area.known;
    if (node.state == membership::State::kAlive && node.ready &&
        !unreachable_regions.count(members_->RegionOf(node.zone))) {
      area.usable.push_back(&node);
    } else if (node.reachable()) {
      area.uncertain.push_back(&node);
    } else {
      area.dead.push_back(&node);
    }
  }
  Choice choice;
  std::vector<const membership::Node*>& chosen = choice.nodes;
  auto take = [&](std::vector<const membership::Node*>* from, size_t limit) {
    for (size_t i = 0; i < limit && !from->empty() && chosen.size() < options_.max_addresses; ++i) {
      size_t pick = random_.Below(from->size());
      chosen.push_back((*from)[pick]);
      (*from)[pick] = from->back();
      from->pop_back();
    }
  };
  // The nearest area with a usable proxy is the primary one. If it has too few, as many as it has
  // lost are taken from the wider areas as well, so that clients return to it gradually, as its
  // proxies do.
  size_t missing = 0;
  for (Area& area : areas) {
    size_t have = area.usable.size();
    bool first = chosen.empty();
    take(&area.usable, first ? options_.max_addresses : missing);
    if (first && have > 0) {
      bool degraded = have * kMinUsableDenominator < area.known * kMinUsableNumerator;
      missing = degraded ? area.known - have : 0;
    } else {
      missing -= std::min(missing, have);
    }
    if (!chosen.empty() && missing == 0) break;
  }
  choice.in_other_region = !chosen.empty() && areas[0].known + areas[1].known > 0 &&
                           members_->RegionOf(chosen.front()->zone) != region;
  if (chosen.empty() && now - started_ < options_.startup_wait) return choice;
  // No proxy is known to be usable: the nearest ones that may still serve are named instead.
  for (auto kind : {&Area::uncertain, &Area::dead}) {
    for (Area& area : areas) {
      if (chosen.empty()) take(&(area.*kind), options_.max_addresses);
    }
  }
  return choice;
}

http::Message Directory::Answer(base::Millis now, const http::Message& request) {
  if (request.Path() != kPath) return http::OwnAnswer(404, "no such path");
  if (request.method != "GET") {
    http::Message answer = http::OwnAnswer(405, "GET only");
    answer.headers.push_back({"Allow", "GET"});
    return answer;
  }
  size_t query = request.target.find('?');
  auto resolution = Resolution::Parse(
      query == std::string::npos ? "" : std::string_view(request.target).substr(query + 1));
  if (!resolution) return http::OwnAnswer(400, resolution.error().reason);
  Choice choice = Choose(now, *resolution);
  if (choice.nodes.empty()) {
    http::Message answer = http::OwnAnswer(503, "no usable proxy is known yet");
    answer.headers.push_back({"Retry-After", "0.2"});
    return answer;
  }
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  w.StartObject();
  w.Key("address-list");
  w.StartArray();
  for (const membership::Node* node : choice.nodes) {
    w.String(base::Address{node->ip, node->client_port}.ToString().c_str());
  }
  w.EndArray();
  w.Key("ttl-s");
  // A client whose region is lost had to wait until the calls to that region's directories timed
  // out. A longer time to live saves it from waiting again at each renewal.
  w.Int64(choice.in_other_region ? options_.other_region_ttl_s : options_.ttl_s);
  w.EndObject();
  http::Message answer;
  answer.status = 200;
  answer.headers.push_back({"Content-Type", "application/json"});
  answer.body = std::string(buffer.GetString(), buffer.GetSize());
  return answer;
}

}  // namespace elderkeel::directory
