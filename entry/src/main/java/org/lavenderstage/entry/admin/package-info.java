/** The operators' interface. */
package org.lavenderstage.entry.admin;
