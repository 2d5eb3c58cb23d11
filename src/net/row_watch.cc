// Follows one table of the store.

#include "row_watch.h"

#include <algorithm>
#include <utility>

namespace cassiaferry {

namespace {

constexpr uint32_t kMostDoublings = 8;

}  // namespace

row_watch::row_watch(row_store store,
                     row_watch_options options,
                     post_function post,
                     rows_function on_rows)
    : store_(std::move(store)),
      options_(std::move(options)),
      post_(std::move(post)),
      on_rows_(std::move(on_rows)),
      alive_(std::make_shared<bool>(true)) {}

void row_watch::Tick(micros now) {
  now_ = now;
  if (open_ || now < next_call_)
    return;
  open_ = true;
  const micros reread = std::max(
      options_.reread,
      micros{options_.reread_per_row.value * static_cast<int64_t>(rows_)});
  if (must_read_ || now - last_read_ > reread)
    Read();
  else
    Follow();
}

void row_watch::Read() {
  last_read_ = now_;
  store_.get(options_.table,
             [this, alive = std::weak_ptr<bool>(alive_)](rows_reply reply) {
               post_([this, alive, reply = std::move(reply)] {
                 if (!alive.expired())
                   Take(true, reply);
               });
             });
}

void row_watch::Follow() {
  store_.feed(options_.table, version_, options_.feed_wait_ms,
              [this, alive = std::weak_ptr<bool>(alive_)](rows_reply reply) {
                post_([this, alive, reply = std::move(reply)] {
                  if (!alive.expired())
                    Take(false, reply);
                });
              });
}

void row_watch::Take(bool whole, const rows_reply& reply) {
  open_ = false;
  if (reply.status != store_status::ok) {
    const uint32_t doublings = std::min(failures_, kMostDoublings);
    const micros wait{std::min(options_.backoff.value << doublings,
                               options_.backoff_most.value)};
    ++failures_;
    must_read_ = true;
    next_call_ =
        reply.status == store_status::history_gone ? now_ : now_ + wait;
    return;
  }
  failures_ = 0;
  must_read_ = false;
  loaded_ = loaded_ || whole;
  if (whole)
    rows_ = reply.rows.size();
  version_ = std::max(version_, reply.version);
  if (!whole && !reply.rows.empty())
    next_call_ = now_ + options_.gather;
  if (whole || !reply.rows.empty())
    on_rows_(reply, whole);
}

}  // namespace cassiaferry
