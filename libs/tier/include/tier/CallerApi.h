/// @file The HTTP API towards callers: reads requests, writes answers. docs/CALLERS.md describes
/// it.
#pragma once

#include <model/Search.h>
#include <net/Message.h>
#include <optional>
#include <string>
#include <tier/BookingService.h>

namespace sapphirewind::tier {

/// A request that cannot be read.
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

/// Reads a search; fills aBad and returns nothing when it is malformed.
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
