/// @file The HTTP API for callers: parses requests and writes responses. Described in
/// docs/CALLERS.md.
#pragma once

#include <model/Search.h>
#include <net/Message.h>
#include <optional>
#include <string>
#include <tier/BookingService.h>

namespace sapphirewind::tier {

/// The reason for rejecting a request that cannot be parsed.
struct BadRequest
{
  model::Errc error = model::Errc::Malformed;
  std::string detail;
};

struct ParsedSearch
{
  model::SearchRequest request;
  std::optional<base::Duration> timeLeft;
};

struct ParsedBooking
{
  BookingRequest request;
  std::optional<base::Duration> timeLeft;
};

/// Parses a search; returns nothing and sets aBad if the request is malformed.
std::optional<ParsedSearch>
ParseSearch(const net::Request& aRequest, BadRequest& aBad);

std::optional<ParsedBooking>
ParseBooking(const net::Request& aRequest, BadRequest& aBad);

net::Response
ToResponse(const model::SearchResponse& aAnswer);

net::Response
ToResponse(const BookingAnswer& aAnswer);

net::Response
ToResponse(const BadRequest& aBad);

} // namespace sapphirewind::tier
