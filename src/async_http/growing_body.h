// A body for Boost.Beast's parsers that takes no more memory than has arrived.
#pragma once

#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace martenyard::async_http {

/// As Beast's `string_body`, but without reserving the announced length, which may never arrive.
struct GrowingBody {
  using value_type = std::string;

  class reader {  // NOLINT(readability-identifier-naming): Beast requires the name.
   public:
    template <bool IsRequest, class Fields>
    reader(boost::beast::http::header<IsRequest, Fields>& /*header*/, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>& /*length*/, boost::beast::error_code& error) {
      error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, boost::beast::error_code& error) {
      error = {};
      std::size_t count = 0;
      for (auto buffer : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        count += buffer.size();
      }
      return count;
    }

    void finish(boost::beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace martenyard::async_http
