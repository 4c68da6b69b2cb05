/** The fake worker. */
package org.lavenderstage.standin.worker;
