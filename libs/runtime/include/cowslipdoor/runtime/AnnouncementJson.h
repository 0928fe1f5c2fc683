#pragma once

/// @file
/// @brief Announcements of upstreams in JSON.

#include <cowslipdoor/core/Announcement.h>
#include <string>
#include <string_view>

namespace cowslipdoor::runtime {

/// @brief Parses an announcement.
/// @param text JSON body that an upstream posted
/// @return the announcement
/// @throws Error with ErrorKind::BadRequest that names the invalid field and the accepted values
[[nodiscard]] Announcement parseAnnouncement(std::string_view text);

/// @brief Formats an announcement as an upstream posts it.
/// @return JSON that parseAnnouncement() parses to an equal value
[[nodiscard]] std::string printAnnouncement(const Announcement& announcement);

/// @brief Formats the reply to an announcement.
/// @return the reply in JSON
[[nodiscard]] std::string printReply(const AnnouncementReply& reply);

/// @brief Parses the reply to an announcement.
/// @param text JSON as printReply() formats it
/// @return the reply
/// @throws Error with ErrorKind::BadRequest if the text is malformed
[[nodiscard]] AnnouncementReply parseReply(std::string_view text);

}
