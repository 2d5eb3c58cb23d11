// What entries and sidecars send over links of low capacity.
//
// Contents
//   [1] Compression
//   [2] The rate of a link
//   [3] Configuration on request

#include "cassiaferry/compression.h"

#include <catch2/catch.hpp>
#include <random>
#include <string>

#include "cassiaferry/uplink.h"
#include "emulator/leased_world.h"

namespace cassiaferry {
namespace {

// ---- [1] Compression --------------------------------------------------------

std::string Letters(size_t count, unsigned seed) {
  std::minstd_rand draw(seed);
  std::string text(count, 'a');
  for (char& c : text)
    c = static_cast<char>('a' + draw() % 16);
  return text;
}

TEST_CASE("compress_any_text_round_trips") {
  for (size_t size : {0u, 1u, 200u, 4000u, 300'000u}) {
    const std::string text = Letters(size, static_cast<unsigned>(size) + 1);
    const auto back = Decompress(Compress(text));
    REQUIRE(back.has_value());
    REQUIRE(*back == text);
  }
}

TEST_CASE("compress_text_of_sixteen_letters_takes_about_half") {
  REQUIRE(Compress(Letters(2400, 7)).size() < 1400);
}

TEST_CASE("decompress_truncated_or_foreign_refused") {
  const std::string compressed = Compress(Letters(4000, 1));
  for (size_t keep : {size_t{0}, size_t{1}, compressed.size() - 1})
    REQUIRE_FALSE(Decompress(compressed.substr(0, keep)).has_value());
  REQUIRE_FALSE(Decompress("\xff\xff\xff not packed").has_value());
}

// Guards against a process that runs out of memory as a few kilobytes
// decompress to gigabytes.
TEST_CASE("decompress_beyond_bound_refused") {
  REQUIRE_FALSE(
      Decompress(Compress(std::string(kMaxDecompressedBytes * 2, 'a'))));
}

// ---- [2] The rate of a link -------------------------------------------------

// One stream over a link of 250 kB/s with a delay of 1 ms each way. In each
// millisecond a frame with a payload is sent if the rate allows it; the peer
// reports every 20 ms.
struct uplink_on_slow_link {
  static constexpr double kRate = 250'000;
  static constexpr size_t kBytes = 1300;
  static constexpr micros kStep = Millis(1);
  static constexpr micros kOneWayDelay = Millis(1);

  void Begin(uplink_options options) { u = MakeUplink(options); }

  void SendFrame() {
    free_at = std::max(free_at, now) +
              micros{static_cast<int64_t>(kBytes / kRate * 1e6)};
    longest_wait = std::max(longest_wait, free_at - now);
    in_transit.push_back({now, free_at + kOneWayDelay + own_wait});
    RecordSent(u, stream, now, kBytes);
    sent += kBytes;
  }

  int64_t PeerClock(micros at) const {
    return static_cast<int64_t>(static_cast<double>(at.value) * peer_speed);
  }

  void Report() {
    while (!in_transit.empty() && in_transit.front().arrives <= now) {
      newest = in_transit.front();
      in_transit.pop_front();
    }
    if (newest.sent.value == 0)
      return;
    const int64_t transit = PeerClock(newest.arrives) - newest.sent.value;
    const int64_t held = PeerClock(now) - PeerClock(newest.arrives);
    RecordArrived(u, stream, now + kOneWayDelay + return_delay,
                  {newest.sent, transit, held});
  }

  // A payload arrives every `every_ms`; at 1 there is always one waiting.
  void Play(micros time, int64_t every_ms = 1) {
    const micros until = now + time;
    for (int64_t step = 0; now < until; ++step, now = now + kStep) {
      TickUplink(u, now, own_wait);
      if (step % every_ms == 0 && MaySendPayload(u))
        SendFrame();
      if (step % 20 == 0)
        Report();
    }
  }

  struct frame {
    micros sent{0};
    micros arrives{0};
  };
  uplink u;
  uplink_stream stream;
  micros now = Millis(1000);
  micros free_at{0};
  micros return_delay{0};  // queue on the way back
  micros own_wait{0};      // of frames in this process, on each way
  micros longest_wait{0};
  double peer_speed = 1;
  size_t sent = 0;
  std::deque<frame> in_transit;
  frame newest;
};

TEST_CASE_METHOD(uplink_on_slow_link,
                 "rate_configured_no_queue_and_well_used") {
  uplink_options options;
  options.configured_rate = kRate;
  Begin(options);
  Play(Millis(10'000));
  REQUIRE(ToMillis(longest_wait) < 60);
  REQUIRE(static_cast<double>(sent) > 0.7 * kRate * 10);
}

// Guards against an entry that serves nobody any more once it has sent more
// than its link carries. The capacity isn't configured, so the entry has to
// estimate it.
TEST_CASE_METHOD(uplink_on_slow_link, "rate_unknown_queue_is_drained_in_time") {
  Begin({});
  Play(Millis(2000));
  longest_wait = micros{0};
  sent = 0;
  Play(Millis(10'000));
  REQUIRE(u.rate > 0);
  REQUIRE(ToMillis(longest_wait) < 200);
  REQUIRE(static_cast<double>(sent) > 0.7 * kRate * 10);
}

TEST_CASE_METHOD(uplink_on_slow_link, "load_small_no_bound_is_set") {
  Begin({});
  Play(Millis(10'000), 20);
  REQUIRE(u.rate == 0);
}

// Guards against callers that are refused while the outgoing link is idle:
// their requests fill the incoming link, so reports of peers are late.
TEST_CASE_METHOD(uplink_on_slow_link, "incoming_link_full_no_bound_is_set") {
  Begin({});
  Play(Millis(2000), 20);
  return_delay = Millis(300);
  Play(Millis(5000), 20);
  REQUIRE(u.rate == 0);
}

// Guards against a small entry under load that sends payloads at a twentieth of
// its link's capacity, and serves still less: it is short of processor time, so
// it sends and reads frames late, and it takes the delay for a queue in the
// link.
TEST_CASE_METHOD(uplink_on_slow_link, "process_late_no_bound_is_set") {
  Begin({});
  Play(Millis(2000), 50);
  own_wait = Millis(80);
  return_delay = own_wait;
  Play(Millis(4000), 50);
  CHECK(u.rate == 0);
  CHECK(u.delay < Millis(10));
}

TEST_CASE_METHOD(uplink_on_slow_link, "clocks_differ_no_bound_is_set") {
  for (double speed : {0.99, 1.01}) {
    peer_speed = speed;
    Begin({});
    Play(Millis(20'000), 20);
    REQUIRE(u.rate == 0);
  }
}

TEST_CASE_METHOD(uplink_on_slow_link, "link_free_again_bound_is_lifted") {
  Begin({});
  Play(Millis(3000));
  REQUIRE(u.rate > 0);
  Play(Millis(25'000), 20);
  REQUIRE(u.rate == 0);
}

// ---- [3] Configuration on request -------------------------------------------

struct entries_and_sidecars {
  static emulator::world_options Options() {
    emulator::world_options options;
    options.workers = 15;
    return options;
  }
  entries_and_sidecars() : w(Options()) { w.Pass(Millis(3000)); }

  // Delivers a configuration of some hundred kilobytes to an entry, as the
  // store would.
  void Change(int entry) {
    config_document document = w.entries[0].core->document;
    document.version = config_version{2};
    nlohmann::json j = nlohmann::json::parse(document.json);
    for (int i = 0; i < 1000; ++i) {
      nlohmann::json queue = j["queues"]["bookings"];
      queue["path_prefix"] = "/" + std::to_string(i) + "/";
      j["queues"]["queue-" + std::to_string(i)] = std::move(queue);
    }
    document.json = j.dump();
    w.entries[static_cast<size_t>(entry)].inbox.emplace_back(
        config_received{document});
    document_bytes = document.json.size();
  }

  uint64_t BytesOut() const {
    uint64_t bytes = 0;
    for (const emulator::emulated_entry& entry : w.entries)
      bytes += entry.out.bytes;
    return bytes;
  }

  emulator::world w;
  size_t document_bytes = 0;
};

TEST_CASE_METHOD(entries_and_sidecars,
                 "config_changed_is_sent_once_to_each_sidecar") {
  const uint64_t before = BytesOut();
  w.Pass(Millis(2000));
  const uint64_t idle = BytesOut() - before;
  for (int i = 0; i < 3; ++i)
    Change(i);
  w.Pass(Millis(2000));
  for (const emulator::emulated_sidecar& sidecar : w.sidecars)
    REQUIRE(sidecar.core->config.version.value == 2);
  const uint64_t copies = w.sidecars.size();
  // Compressed, a copy takes at most a fifth of the text.
  REQUIRE(BytesOut() - before - 2 * idle < (copies + 1) * document_bytes / 5);
}

// Guards against requests that are refused as not found seconds after the
// operator has added their queue: one entry is cut from the store, the others
// receive the change. It receives the change through the sidecars.
TEST_CASE_METHOD(entries_and_sidecars,
                 "entry_cut_from_store_receives_the_change_from_sidecars") {
  Change(0);
  Change(1);
  w.Pass(Millis(700));
  REQUIRE(w.entries[2].core->document.version.value == 2);
}

// Guards against an older configuration at entries that start after all entries
// have crashed while the store is down. The sidecars keep the newest one.
TEST_CASE_METHOD(entries_and_sidecars,
                 "entries_all_restarted_receive_the_change_from_sidecars") {
  for (int i = 0; i < 3; ++i)
    Change(i);
  w.Pass(Millis(700));
  for (int i = 0; i < 3; ++i)
    w.KillEntry(i);
  w.Pass(Millis(1500));
  for (const emulator::emulated_entry& entry : w.entries)
    REQUIRE(entry.core->document.version.value == 2);
}

}  // namespace
}  // namespace cassiaferry
