// A server on loopback that breaks a connection off, for tests of clients.

#ifndef CASSIAFERRY_TESTS_BREAKING_SERVER_H_
#define CASSIAFERRY_TESTS_BREAKING_SERVER_H_

#include <asio.hpp>
#include <atomic>
#include <string>
#include <string_view>
#include <thread>
#include <utility>

namespace cassiaferry {

// Answers the first request, takes the second on the same connection and closes
// it without an answer, and refuses each later one.
class breaking_server {
 public:
  explicit breaking_server(std::string refusal = "503 Service Unavailable")
      : refusal_(std::move(refusal)),
        acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
        thread_([this] { Serve(); }) {}
  breaking_server(const breaking_server&) = delete;
  breaking_server& operator=(const breaking_server&) = delete;
  ~breaking_server() {
    stops_ = true;
    asio::error_code ignored;
    asio::ip::tcp::socket wakes(io_);
    wakes.connect(acceptor_.local_endpoint(), ignored);
    thread_.join();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  int Requests() const { return requests_; }
  int Connections() const { return connections_; }

 private:
  void Serve() {
    while (!stops_) {
      asio::ip::tcp::socket socket(io_);
      acceptor_.accept(socket);
      ++connections_;
      while (!stops_ && TakeRequest(socket) && requests_ != 2)
        Answer(socket, requests_ == 1 ? "200 OK" : refusal_);
    }
  }

  bool TakeRequest(asio::ip::tcp::socket& socket) {
    constexpr std::string_view kLength = "Content-Length: ";
    std::string data;
    asio::error_code failed;
    const size_t head = asio::read_until(socket, asio::dynamic_buffer(data),
                                         "\r\n\r\n", failed);
    const size_t length = data.find(kLength);
    const size_t whole =
        head + (length == std::string::npos
                    ? 0
                    : std::stoul(data.substr(length + kLength.size())));
    if (!failed && data.size() < whole)
      asio::read(socket, asio::dynamic_buffer(data),
                 asio::transfer_exactly(whole - data.size()), failed);
    requests_ += failed ? 0 : 1;
    return !failed;
  }

  static void Answer(asio::ip::tcp::socket& socket, const std::string& status) {
    asio::error_code ignored;
    asio::write(
        socket,
        asio::buffer("HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}"),
        ignored);
  }

  std::string refusal_;  // a status line's code and text
  asio::io_context io_;
  asio::ip::tcp::acceptor acceptor_;
  std::atomic<bool> stops_{false};
  std::atomic<int> requests_{0};
  std::atomic<int> connections_{0};
  std::thread thread_;
};

}  // namespace cassiaferry

#endif  // CASSIAFERRY_TESTS_BREAKING_SERVER_H_
