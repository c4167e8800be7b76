#include "directory/directory.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>

namespace elderkeel::directory {
namespace {

constexpr size_t kMaxValue = 256;
// A place that has lost more than this part of its proxies is helped out by the next wider one.
constexpr size_t kHelpNumerator = 2, kHelpDenominator = 3;

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

// False for a malformed escape, or a value that can be no name.
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
  return out->size() <= kMaxValue && std::all_of(out->begin(), out->end(), [](unsigned char c) {
           return c > 0x20 && c != 0x7f;
         });
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
    if (equals == std::string_view::npos) return bad("malformed query");
    std::string_view key = pair.substr(0, equals);
    std::string* value = key == "label"    ? &resolution.label
                         : key == "region" ? &resolution.region
                         : key == "zone"   ? &resolution.zone
                                           : nullptr;
    if (!value) continue;  // new fields may appear
    if (!value->empty()) return bad(std::string(key) + ": stands twice");
    if (!Unescape(pair.substr(equals + 1), value)) return bad(std::string(key) + ": is malformed");
  }
  if (resolution.label.empty()) return bad("label: is missing");
  if (resolution.region.empty() && resolution.zone.empty()) return bad("region, zone: are missing");
  return resolution;
}

// Most monitors of a region's nodes stand in the region; when it is lost as a whole, each of its
// nodes is noticed by one far monitor alone, and late. Its controllers are noticed within a second
// or so. If controllers are alive nowhere, that says nothing about any region.
std::set<std::string> Directory::DarkRegions() const {
  std::set<std::string> seen, unseen;
  for (const auto& [id, node] : members_->nodes()) {
    if (node.program != membership::Program::kController || node.state == membership::State::kLeft)
      continue;
    const std::string& region = members_->RegionOf(node.zone);
    (node.state == membership::State::kAlive ? seen : unseen).insert(region);
  }
  for (const std::string& region : seen) unseen.erase(region);
  return unseen;
}

Directory::Choice Directory::Choose(base::Millis now, const Resolution& resolution) {
  std::set<std::string> dark = DarkRegions();
  // Rings of places, near ones first: the zone, its region, everywhere. A zone that is not known is
  // judged by the region; with neither known, everywhere is as near.
  std::string region = members_->RegionOf(resolution.zone);
  if (region.empty()) region = resolution.region;
  struct Ring {
    std::vector<const membership::Node*> good, doubtful, lost;
    size_t known = 0;
  } rings[3];
  for (const auto& [id, node] : members_->nodes()) {
    if (node.program != membership::Program::kProxy || node.front == 0) continue;
    if (node.state == membership::State::kLeft) continue;
    Ring& ring = rings[node.zone == resolution.zone              ? 0
                       : members_->RegionOf(node.zone) == region ? 1
                                                                 : 2];
    ++ring.known;
    if (node.state == membership::State::kAlive && node.ready &&
        !dark.count(members_->RegionOf(node.zone))) {
      ring.good.push_back(&node);
    } else if (node.reachable()) {
      ring.doubtful.push_back(&node);
    } else {
      ring.lost.push_back(&node);
    }
  }
  Choice choice;
  std::vector<const membership::Node*>& chosen = choice.nodes;
  auto take = [&](std::vector<const membership::Node*>* from, size_t most) {
    for (size_t i = 0; i < most && !from->empty() && chosen.size() < options_.most; ++i) {
      size_t pick = random_.Below(from->size());
      chosen.push_back((*from)[pick]);
      (*from)[pick] = from->back();
      from->pop_back();
    }
  };
  // What a crushed zone lacks is borrowed, as many as it has lost, from those next to it; so it
  // gets its clients back one by one, as its proxies return.
  size_t lacking = 0;
  for (Ring& ring : rings) {
    size_t have = ring.good.size();
    bool first = chosen.empty();
    take(&ring.good, first ? options_.most : lacking);
    if (first && have > 0) {
      bool crushed = have * kHelpDenominator < ring.known * kHelpNumerator;
      lacking = crushed ? ring.known - have : 0;
    } else {
      lacking -= std::min(lacking, have);
    }
    if (!chosen.empty() && lacking == 0) break;
  }
  choice.elsewhere = !chosen.empty() && rings[0].known + rings[1].known > 0 &&
                     members_->RegionOf(chosen.front()->zone) != region;
  if (chosen.empty() && now - started_ < options_.patience) return choice;
  // Doubtful knowledge: what was last known to serve is better than nothing.
  for (auto kind : {&Ring::doubtful, &Ring::lost}) {
    for (Ring& ring : rings) {
      if (chosen.empty()) take(&(ring.*kind), options_.most);
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
    http::Message answer = http::OwnAnswer(503, "no proxy is known yet");
    answer.headers.push_back({"Retry-After", "0.2"});
    return answer;
  }
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> w(buffer);
  w.StartObject();
  w.Key("address-list");
  w.StartArray();
  for (const membership::Node* node : choice.nodes) {
    w.String(base::Address{node->ip, node->front}.ToString().c_str());
  }
  w.EndArray();
  w.Key("ttl-s");
  // A client whose region is lost has waited for that region's directories first; it should not
  // have to do so again at every turn.
  w.Int64(choice.elsewhere ? options_.ttl_most_s : options_.ttl_s);
  w.EndObject();
  http::Message answer;
  answer.status = 200;
  answer.headers.push_back({"Content-Type", "application/json"});
  answer.body = std::string(buffer.GetString(), buffer.GetSize());
  return answer;
}

}  // namespace elderkeel::directory
